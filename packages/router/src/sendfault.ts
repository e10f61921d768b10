/**
 * Why a send returned no complete response. Invariant: `ran` is 'no' only if the server said so itself, or if no byte
 * of the request was written to it.
 */
export type SendFault = {
  ran: 'no' | 'maybe';
  /**
   * unsent: no connection could be opened; crowded: this daemon's connection limit for the server is reached (neither
   * reached the server); refused: the server said that it did not run the request; misdirected: the address belongs to
   * another server, or the server has another stage; broken: the connection broke, or the bytes are no response to this
   * request; stale: the server had closed the idle connection; late: the time limit passed; gone: the client
   * disconnected or its key was revoked.
   */
  code: 'unsent' | 'crowded' | 'refused' | 'misdirected' | 'broken' | 'stale' | 'late' | 'gone';
  why: string;
};
