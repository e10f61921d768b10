import type { Result as Either } from 'ts-results';

/** Either a value or an error. */
export type Result<T, E> = Either<T, E>;
