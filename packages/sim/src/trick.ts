/** What a stand-in server may do wrong. 'memory' continues from another visit's memory; 'early' leaves out the last piece;
 * 'short' ends early with a sound end, which only a caller that knows the outcome can tell; 'flaky' turns work away;
 * 'swap' gives the handle of the visit before, and hands over from any handle. */
export type Trick =
  'none' | 'skip' | 'repeat' | 'other' | 'old' | 'torn' | 'memory' | 'early' | 'short' | 'flaky' | 'swap';
