// Package proof holds scenarios and history checks over real processes.
package proof
