/**
 * Why a send brought no whole answer. Invariant: `ran` is 'no' only if the server said so itself, or no byte of the
 * request was written to it.
 */
export type SendFault = {
  ran: 'no' | 'maybe';
  /**
   * unsent: no connection came up, so it never arrived; crowded: this daemon has as many there as it may, so neither
   * did this; refused: the server said that it did not run it;
   * misdirected: it was another server, or the wrong stage; broken: cut, or bytes that are no answer of this request;
   * stale: the connection had rested, and was gone at the other side; late: our own time was up; gone: the client went.
   */
  code: 'unsent' | 'crowded' | 'refused' | 'misdirected' | 'broken' | 'stale' | 'late' | 'gone';
  why: string;
};
