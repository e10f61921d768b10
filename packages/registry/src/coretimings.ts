/**
 * The core's terms, in ms. Invariant: `suspect` is longer than `hold`, so a live lease is not outlived by suspicion
 * alone.
 */
export const CoreTimings = {
  heartbeatIntervalMs: 150,
  viewLeaseMs: 800,
  suspectAfterMs: 1000,
  requestTimeoutMs: 600,
  stateTransferTimeoutMs: 2500,
  diskStallMs: 1500,
  lease: 2000,
  quiet: 3000,
  daemonExpiryMs: 2000,
  candidateTtlMs: 2000,
  leaveTimeoutMs: 1000,
  viewQueryTimeoutMs: 250,
  leaseRecallTimeoutMs: 200,
  addressSearchIntervalMs: 1000,
};
