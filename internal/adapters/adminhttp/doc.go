// Package adminhttp serves the administration API under /admin/v1, the status
// page under /admin/, and health and metrics. openapi.yaml describes the API.
//
// Reads answer from the configuration in force. Each change names the revision
// it was made from and a change id. It is planned by package administration,
// refused when it is out of scope or would not compile, and proposed to the
// configuration log. Daemons other than the answering one learn of it like of
// any other revision. Log events AD7001 and AD7002 are the audit trail beside
// the author and message in the log. Neither holds tokens or request bodies.
package adminhttp
