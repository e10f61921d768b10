import results from 'ts-results';

/** The good half of a result. */
export const Ok = results.Ok;
