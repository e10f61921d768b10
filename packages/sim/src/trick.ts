/** What a stand-in server may do wrong. 'memory' continues from another visit's memory; 'early' leaves out the last piece. */
export type Trick = 'none' | 'skip' | 'repeat' | 'other' | 'old' | 'torn' | 'memory' | 'early';
