import type { Result as Either } from 'ts-results';

/** Either a value or a named fault; never both, never neither. */
export type Result<T, E> = Either<T, E>;
