/**
 * Intervals and timeouts of the control replicas, in ms. Invariant: `suspectAfterMs` is longer than `viewLeaseMs`, so a
 * suspected member's lease has expired.
 */
export const CoreTimings = {
  heartbeatIntervalMs: 150,
  viewLeaseMs: 800,
  suspectAfterMs: 1000,
  /** Timeout of a request between daemons. */
  requestTimeoutMs: 600,
  stateTransferTimeoutMs: 2500,
  /** A disk write pending for longer makes the replica unhealthy. */
  diskStallMs: 1500,
  /** Term of a named lease given to a daemon. */
  namedLeaseMs: 2000,
  /**
   * How long a daemon waits before it acts under a lease that had an earlier holder, so that this holder has stopped.
   */
  takeoverDelayMs: 3000,
  /** A daemon that has not checked in for this long is not live. */
  daemonExpiryMs: 2000,
  /** How long a candidate for the first view is remembered. */
  candidateTtlMs: 2000,
  /** Limit for leaving the chain at shutdown. */
  leaveTimeoutMs: 1000,
  /** How long a view query waits when an older view is known. */
  viewQueryTimeoutMs: 250,
  /** How long a voter waits for recalled leases. */
  leaseRecallTimeoutMs: 200,
  addressSearchIntervalMs: 1000,
};
