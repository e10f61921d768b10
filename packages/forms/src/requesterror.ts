/**
 * Why a request has no valid reply. 'unsent': nothing was sent. 'lost': the peer may have received it. 'wrong': the
 * peer refused it, or its reply was invalid.
 */
export type RequestError = 'unsent' | 'lost' | 'wrong';
