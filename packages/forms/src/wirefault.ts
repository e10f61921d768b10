/**
 * Why no reply came. 'unsent': nothing left this daemon. 'lost': it may have been heard. 'wrong': it was heard and
 * turned away.
 */
export type WireFault = 'unsent' | 'lost' | 'wrong';
