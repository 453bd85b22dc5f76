package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `
daemon = "entry-1"
region = "north"
zone = "north-a"
shutdown_bound = "3s"

[caller]
address = "10.0.0.1:8000"
max_body = "1MiB"

[admin]
address = "127.0.0.1:20101"

[peer]
address = "127.0.0.1:20201"
seeds = ["127.0.0.1:20201", "127.0.0.1:20202"]

[platform]
urls = ["https://platform.internal:443"]
credential_file = "/etc/auburndyke/credential"
`

// Guards against defaults that a partly filled section loses.
func TestDefaultsStay(t *testing.T) {
	s, list := Decode(Source{Name: "s.toml", Data: []byte(valid)})
	assert.Equal(t, len(list), 0, list.Error())
	assert.Equal(t, s.Caller.MaxBody, int64(1<<20))
	assert.Equal(t, s.Caller.MaxHeader, int64(64<<10))
	assert.Equal(t, s.Platform.Timeout, 2*time.Second)
	assert.Equal(t, s.LogLevel, LogInfo)
	assert.Equal(t, s.Peer.Advertise, "127.0.0.1:20201")
}

// Guards against settings that start a process in an unsafe or unusable way.
func TestEachMistakeGivesOneFinding(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"missing", `zone = "north-a"`, ``, `key "zone" is missing`},
		{"unknown", `max_body`, `max_boddy`, `s.toml:9:1: error: unknown key "max_boddy" in caller`},
		{"unit", `"1MiB"`, `1048576`, `s.toml:9:12: error: caller.max_body has wrong type: integer`},
		{"zero", `"1MiB"`, `"0B"`, `caller.max_body is zero`},
		{"address", `10.0.0.1:8000`, `10.0.0.1`, `s.toml:8:11: error: invalid address "10.0.0.1" in caller.address`},
		{"same address", `127.0.0.1:20101`, `127.0.0.1:20201`, `peer.address uses the address of admin.address`},
		{"open administration", `127.0.0.1:20101`, `10.0.0.1:20101`, `tokens in clear text`},
		{"open peers", `address = "127.0.0.1:20201"`, `address = "10.0.0.1:20201"`, `peer connections on 10.0.0.1:20201 are not authenticated`},
		{"unspecified peer", `seeds =`, "advertise = \"0.0.0.0:1\"\nseeds =", `peers cannot connect to 0.0.0.0:1`},
		{"seed", `"127.0.0.1:20202"`, `"peer:20202"`, `s.toml:16:29: error: invalid address "peer:20202" in peer.seeds.1`},
		{"clear text", `https://`, `http://`, `would send the credential in clear text`},
		{"half a certificate", `max_body`, "tls = { key_file = \"k\" }\nmax_body", `caller.tls has a key_file but no certificate_file`},
		{"log level", `shutdown_bound`, "log_level = \"loud\"\nshutdown_bound", `unknown log_level "loud" (allowed: debug, info, warn, error)`},
		{"duration", `"3s"`, `"3"`, `s.toml:5:18: error: shutdown_bound is not a duration`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, list := Decode(Source{Name: "s.toml", Data: []byte(strings.Replace(valid, c.old, c.new, 1))})
			assert.Equal(t, len(list), 1, list.Error())
			assert.Assert(t, strings.Contains(list[0].String(), c.want), list[0].String())
		})
	}
}

// Guards against a file that silently overrides another one.
func TestKeySetInTwoFiles(t *testing.T) {
	second := "[caller]\nmax_body = \"2MiB\"\nmax_header = \"1KiB\"\n"
	s, list := Decode(Source{Name: "a.toml", Data: []byte(valid)}, Source{Name: "b.toml", Data: []byte(second)})
	assert.Equal(t, list.Error(), "b.toml:2:12: error: caller.max_body is already set at a.toml:9")
	assert.Equal(t, s.Caller.MaxHeader, int64(1<<10))
}

// Guards against examples whose daemons do not start or share an address.
func TestExampleSettings(t *testing.T) {
	for _, dir := range []string{"maraval-bay", "fryline"} {
		seen := map[string]bool{}
		for i := range 8 {
			var sources []Source
			for _, name := range []string{"settings.toml", fmt.Sprintf("daemons/entry-%d.toml", i+1)} {
				data, err := os.ReadFile(filepath.Join("..", "..", "examples", dir, name))
				assert.NilError(t, err)
				sources = append(sources, Source{Name: filepath.Join("etc", name), Data: data})
			}
			s, list := Decode(sources...)
			assert.Equal(t, len(list), 0, list.Error())
			assert.Equal(t, s.Platform.CredentialFile, filepath.Join("etc", "platform.credential"))
			for _, address := range []string{s.Caller.Address, s.Admin.Address, s.Peer.Address} {
				assert.Assert(t, !seen[address], address)
				seen[address] = true
			}
		}
	}
}
