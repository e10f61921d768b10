import results from 'ts-results';

/** The bad half of a result. */
export const Err = results.Err;
