package conductor

import "fmt"

// jsonObject is a JSON object of a settings file or a request.
type jsonObject = map[string]any

// Ports of a host, relative to the first port of the deployment. A program listens
// on its bound ports and on controlPort. Other processes connect to announcedPort,
// and callers to callerPort, from which the forwarder proxies to the bound ports.
// controlPort is not proxied. The platform has no control port: it also serves
// control requests on boundPort.
const (
	boundPort = iota
	announcedPort
	controlPort
	boundCallerPort
	callerPort
)

const (
	service = "orders"
	team    = "shop"
	idKey   = "000102030405060708090a0b0c0d0e0f"
)

func (d *Deployment) nextHost() int {
	d.hostCount++
	return d.hostCount
}

func (d *Deployment) addPlatform() {
	host := d.nextHost()
	bound, announced := d.hostAddress(host, boundPort), d.hostAddress(host, announcedPort)
	d.platform = &process{
		name: "platform", program: d.programs.Platform, announcedAddress: announced, controlAddress: bound,
		forwards: map[string]string{announced: bound},
		settings: func(string) any {
			s := jsonObject{"listen": bound, "listLagMs": 200, "appendDelayMs": 1}
			if d.layout.LogRetentionMs > 0 {
				s["retentionMs"] = d.layout.LogRetentionMs
			}
			return s
		},
	}
	d.processes["platform"] = d.platform
}

func (d *Deployment) addEntry(name, domain string) {
	host := d.nextHost()
	bound, announced := d.hostAddress(host, boundPort), d.hostAddress(host, announcedPort)
	boundCallers, callers, control := d.hostAddress(host, boundCallerPort), d.hostAddress(host, callerPort), d.hostAddress(host, controlPort)
	d.processes[name] = &process{
		name: name, domain: domain, program: d.programs.Entry, announcedAddress: announced, controlAddress: control, callerAddress: callers,
		forwards: map[string]string{announced: bound, callers: boundCallers},
		settings: func(history string) any {
			local, remote := d.seedAddresses(domain)
			return jsonObject{
				"name": name, "failureDomain": domain, "region": "bagmati",
				"callerAddress": boundCallers, "peerAddress": announced, "peerListen": bound,
				"operatorAddress": control, "platform": d.platform.announcedAddress,
				"seeds": local, "remoteSeeds": remote, "idKey": idKey,
				"balancerNoticeMs": 200, "stopLingerMs": 200, "leaseMs": d.layout.LeaseMs,
				"answerKeepMs": d.layout.AnswerKeepMs, "historyFile": history,
				"broker": jsonObject{"leaseMs": d.layout.LeaseMs, "seed": 1},
			}
		},
	}
}

// seedAddresses returns the peer addresses of the entries in the given failure
// domain, and those of the entries in all other domains.
func (d *Deployment) seedAddresses(domain string) (local, remote []string) {
	for _, name := range d.entryNames("") {
		if p := d.processes[name]; p.domain == domain {
			local = append(local, p.announcedAddress)
		} else {
			remote = append(remote, p.announcedAddress)
		}
	}
	return local, remote
}

func (d *Deployment) addTarget(name, domain string) {
	host := d.nextHost()
	bound, announced, control := d.hostAddress(host, boundPort), d.hostAddress(host, announcedPort), d.hostAddress(host, controlPort)
	d.processes[name] = &process{
		name: name, domain: domain, program: d.programs.Target, announcedAddress: announced, controlAddress: control,
		forwards: map[string]string{announced: bound},
		settings: func(history string) any {
			return jsonObject{
				"control": control, "process": name, "historyFile": history, "platform": d.platform.announcedAddress,
				"lease": jsonObject{"ttlMs": 60_000, "renewMs": 500}, "leavingNoticeMs": 500, "seed": host,
				"targets": []jsonObject{{
					"addresses": []string{announced}, "listen": []string{bound}, "service": service,
					"failureDomain": domain, "region": "bagmati", "slots": d.layout.Slots, "memoryMB": 1024,
				}},
			}
		},
	}
}

// sheet returns a sheet that distributes all slots of the deployment. Variants
// differ in the maximum run time of bulk requests.
func (d *Deployment) sheet(variant int) string {
	slots := d.layout.Domains * d.layout.Targets * d.layout.Slots
	text := fmt.Sprintf("row,service,name,priority,slots,idempotent,maxRunMs,allowance\nbudget,,,,%d,,,\n", slots)
	for _, name := range d.domains {
		text += fmt.Sprintf("domain,,%s,,,,,\n", name)
	}
	text += fmt.Sprintf("service,%s,,,%d,,,\n", service, slots)
	text += "request,orders,check,urgent,,yes,20000,\n"
	text += "request,orders,firm,urgent,,no,20000,\n"
	text += fmt.Sprintf("request,orders,batch,bulk,,yes,%d,\n", 20_000+variant)
	return text + fmt.Sprintf("team,,%s,,%d,,,\nteam,,idle,,%d,,,\n", team, slots, d.layout.Domains)
}
