package adminhttp

// RouteNames lists the calls of the API as "METHOD path".
func RouteNames() []string {
	var names []string
	for _, r := range newServer(nil, Options{}).routes() {
		names = append(names, r.method+" "+r.path)
	}
	return names
}
