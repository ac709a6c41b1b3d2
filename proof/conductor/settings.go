package conductor

import "fmt"

// object is a JSON object of a settings file.
type object = map[string]any

// The ports of a host, relative to the first one of the deployment.
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
	d.hosts++
	return d.hosts
}

func (d *Deployment) addPlatform() {
	host := d.nextHost()
	bound, announced := d.address(host, boundPort), d.address(host, announcedPort)
	d.platform = &process{
		name: "platform", program: d.programs.Platform, address: announced, control: bound,
		forwards: map[string]string{announced: bound},
		settings: func(string) any {
			s := object{"listen": bound, "listLagMs": 200, "appendDelayMs": 1}
			if d.layout.RetentionMs > 0 {
				s["retentionMs"] = d.layout.RetentionMs
			}
			return s
		},
	}
	d.processes["platform"] = d.platform
}

func (d *Deployment) addEntry(name, domain string) {
	host := d.nextHost()
	bound, announced := d.address(host, boundPort), d.address(host, announcedPort)
	boundCallers, callers, control := d.address(host, boundCallerPort), d.address(host, callerPort), d.address(host, controlPort)
	d.processes[name] = &process{
		name: name, domain: domain, program: d.programs.Entry, address: announced, control: control, callers: callers,
		forwards: map[string]string{announced: bound, callers: boundCallers},
		settings: func(history string) any {
			local, remote := d.seeds(domain)
			return object{
				"name": name, "failureDomain": domain, "region": "bagmati",
				"callerAddress": boundCallers, "peerAddress": announced, "peerListen": bound,
				"operatorAddress": control, "platform": d.platform.address,
				"seeds": local, "remoteSeeds": remote, "idKey": idKey,
				"balancerNoticeMs": 200, "stopLingerMs": 200, "leaseMs": d.layout.LeaseMs,
				"answerKeepMs": d.layout.AnswerKeepMs, "historyFile": history,
				"broker": object{"leaseMs": d.layout.LeaseMs, "seed": 1},
			}
		},
	}
}

// seeds returns the peer addresses of the own domain and of the others.
func (d *Deployment) seeds(domain string) (local, remote []string) {
	for _, name := range d.entries("") {
		if p := d.processes[name]; p.domain == domain {
			local = append(local, p.address)
		} else {
			remote = append(remote, p.address)
		}
	}
	return local, remote
}

func (d *Deployment) addTarget(name, domain string) {
	host := d.nextHost()
	bound, announced, control := d.address(host, boundPort), d.address(host, announcedPort), d.address(host, controlPort)
	d.processes[name] = &process{
		name: name, domain: domain, program: d.programs.Target, address: announced, control: control,
		forwards: map[string]string{announced: bound},
		settings: func(history string) any {
			return object{
				"control": control, "process": name, "historyFile": history, "platform": d.platform.address,
				"lease": object{"ttlMs": 60_000, "renewMs": 500}, "leavingNoticeMs": 500, "seed": host,
				"targets": []object{{
					"addresses": []string{announced}, "listen": []string{bound}, "service": service,
					"failureDomain": domain, "region": "bagmati", "slots": d.layout.Slots, "memoryMB": 1024,
				}},
			}
		},
	}
}

// sheet returns a sheet with all slots of the deployment. Sheets with another
// variant differ in the run time of bulk requests.
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
