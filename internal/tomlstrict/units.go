package tomlstrict

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxShareDecimals bounds the decimals of a percentage, so that FormatShare
// and ParseShare are exact inverses.
const maxShareDecimals = 4

// ParseShare reads a percentage from "0%" to "100%" as a fraction.
func ParseShare(text string) (float64, error) {
	number, ok := strings.CutSuffix(text, "%")
	_, decimals, _ := strings.Cut(number, ".")
	x, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || strings.ContainsAny(number, "eExX_+-") || len(decimals) > maxShareDecimals || !(x >= 0 && x <= 100) {
		return 0, fmt.Errorf("share %q is not a percentage from 0%% to 100%%", text)
	}
	return x / 100, nil
}

// FormatShare writes a fraction as a percentage with at most 4 decimals.
func FormatShare(x float64) string {
	return strconv.FormatFloat(math.Round(x*1e6)/1e4, 'f', -1, 64) + "%"
}

type unit struct {
	suffix string
	bytes  int64
}

// sizeUnits is ordered so that a suffix comes before its own endings.
var sizeUnits = []unit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"TB", 1e12},
	{"GB", 1e9},
	{"MB", 1e6},
	{"kB", 1e3},
	{"B", 1},
}

// ParseSize reads a whole number of bytes with a unit, such as "14GiB".
func ParseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		x, err := strconv.ParseUint(number, 10, 63)
		if err != nil || int64(x) > math.MaxInt64/u.bytes {
			break
		}
		return int64(x) * u.bytes, nil
	}
	return 0, fmt.Errorf("size %q is not a whole number with a unit", text)
}

// FormatSize writes a number of bytes with the largest binary unit that
// divides it.
func FormatSize(x int64) string {
	for _, u := range sizeUnits[:4] {
		if x != 0 && x%u.bytes == 0 {
			return strconv.FormatInt(x/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(x, 10) + "B"
}
