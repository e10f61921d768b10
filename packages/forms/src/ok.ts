import results from 'ts-results';

/** Creates the success case of a result. */
export const Ok = results.Ok;
