package routing

import (
	"strconv"
	"strings"

	"spoolswitch/internal/codes"
)

// ReadTokens reads Token-Counts: those of the prompt and the most sent out.
func ReadTokens(s string) (in, out int64, err error) {
	a, b, ok := strings.Cut(s, ",")
	in, e1 := strconv.ParseInt(strings.TrimSpace(a), 10, 64)
	out, e2 := strconv.ParseInt(strings.TrimSpace(b), 10, 64)
	if !ok || e1 != nil || e2 != nil || in < 0 || out < 0 {
		return 0, 0, codes.New(codes.BadFields, "Token-Counts: %.40q", s)
	}
	return in, out, nil
}
