/** What a stand-in server may do wrong. 'early' leaves out the last piece;
 * 'flaky' turns work away;
 * 'swap' gives the handle of the request before, and hands over from any handle. */
export type Trick = 'none' | 'skip' | 'repeat' | 'other' | 'old' | 'torn' | 'early' | 'flaky' | 'swap';
