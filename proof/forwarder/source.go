package forwarder

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Owner returns which of the processes has the local socket that a connection
// comes from, or 0. It reads the kernel's table of sockets and the open files
// of the processes, which their starter may do without privileges.
func Owner(remote net.Addr, pids []int) int {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return 0
	}
	inode := inodeOf(tcp)
	if inode == "" {
		return 0
	}
	want := "socket:[" + inode + "]"
	for _, pid := range pids {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, f := range files {
			if link, err := os.Readlink(f); err == nil && link == want {
				return pid
			}
		}
	}
	return 0
}

// inodeOf returns the inode of the socket that is bound to addr and connected.
func inodeOf(addr *net.TCPAddr) string {
	ip := addr.IP.To4()
	if ip == nil {
		return ""
	}
	// The table shows IPv4 addresses as a number in the host's byte order,
	// which is little endian on the machines that run the scenarios.
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	want := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), addr.Port)
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const established, inode = "01", 9
		if len(fields) > inode && fields[1] == want && fields[3] == established {
			return fields[inode]
		}
	}
	return ""
}
