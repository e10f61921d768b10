import results from 'ts-results';

/**
 * The bad half of a result. Results are returned, never thrown, so none keeps the stack that the library would
 * capture: it cost more than all else that a call did which came to nothing.
 */
export const Err = <E>(fault: E): ReturnType<typeof results.Err<E>> => {
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  try {
    return results.Err(fault);
  } finally {
    Error.stackTraceLimit = limit;
  }
};
