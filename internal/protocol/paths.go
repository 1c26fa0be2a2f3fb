package protocol

// Paths that a controller serves, as patterns of http.ServeMux. The id of a job is a path value.
const (
	PathSubmit    = "POST /api/jobs"
	PathStatus    = "GET /api/jobs/{" + PathJobID + "}"
	PathCancel    = "POST /api/jobs/{" + PathJobID + "}/withdraw"
	PathHealth    = "GET /up"
	PathHeartbeat = "POST /agent/beat"
	// PathOverview is for operators; no client relies on it.
	PathOverview = "GET /overview"
	// PathJobID is the name of the path value.
	PathJobID = "id"
)
