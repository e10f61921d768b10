import results from 'ts-results';

/**
 * Creates the error case of a result. Results are returned, never thrown, so the stack trace that the library would
 * capture is suppressed: capturing it cost more than all other work of a call that failed.
 */
export const Err = <E>(error: E): ReturnType<typeof results.Err<E>> => {
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  try {
    return results.Err(error);
  } finally {
    Error.stackTraceLimit = limit;
  }
};
