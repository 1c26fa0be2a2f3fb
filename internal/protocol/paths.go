package protocol

// Paths that a controller serves, as patterns for http.ServeMux. The id of a job is a path value.
const (
	PathSubmit    = "POST /api/jobs"
	PathStatus    = "GET /api/jobs/{" + PathJobID + "}"
	PathCancel    = "POST /api/jobs/{" + PathJobID + "}/withdraw"
	PathHealth    = "GET /up"
	PathHeartbeat = "POST /agent/beat"
	// PathOverview serves operators; it is not part of the interface for clients.
	PathOverview = "GET /overview"
	// PathJobID is the name of the path value with the id of a job.
	PathJobID = "id"
)
