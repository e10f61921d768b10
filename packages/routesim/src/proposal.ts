import type { Routing } from '@pumicebarrow/forms';

/** One configuration that an operator sends. Its `n`, `source` and `mark`, a path, are its own. */
export type Proposal = { n: number; base: number; revision: number; valid: boolean; mark: string; routing: Routing };
