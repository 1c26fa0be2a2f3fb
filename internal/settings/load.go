package settings

import "postpoint/internal/configfile"

// Load reads and validates the settings file at path. Its error names the file and the invalid field.
func Load(path string) (*Settings, error) { return configfile.Load(path, Parse) }

// Parse decodes and validates the text of a settings file. It ignores unknown fields.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := configfile.DecodeJSON(raw, &s); err != nil {
		return nil, err
	}
	if err := s.checkTeams(); err != nil {
		return nil, err
	}
	if err := s.checkPeers(); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkTeams rejects teams that are listed twice or whose guarantee exceeds their limit.
func (s *Settings) checkTeams() error {
	const field = "deployment.teams"
	seen := map[string]bool{}
	for _, team := range s.Deployment.Teams {
		if seen[team.Name] {
			return configfile.Invalid(field, team.Name, "is listed twice")
		}
		seen[team.Name] = true
		if overLimit(team.Cpus, team.CpusMax) || overLimit(team.Gpus, team.GpusMax) {
			return configfile.Invalid(field, team.Name, "is guaranteed more than its limit")
		}
	}
	return nil
}

// overLimit reports whether a guarantee exceeds a limit. A limit of 0 means none.
func overLimit(guarantee, limit float64) bool { return limit > 0 && guarantee > limit }

// checkPeers rejects settings that list this controller among its peers.
func (s *Settings) checkPeers() error {
	for _, peer := range s.Peers {
		if peer.Node == s.Node {
			return configfile.Invalid("known", peer.Node, "is this node itself")
		}
	}
	return nil
}
