import { register } from 'node:module';
import { workerData } from 'node:worker_threads';
import type { Guard } from './guard.js';

const guard = (workerData as { guard: Guard | null } | null)?.guard;
if (guard)
  register(
    `./mutant.js?${new URLSearchParams({ file: guard.file, from: guard.from, to: guard.to }).toString()}`,
    import.meta.url,
  );
const { Crew } = await import('./crew.js');

/** The entry of a worker thread. The daemons' code is loaded only once the guard that is to be missing is known. */
export const Hand = { crew: Crew };
Crew.serve();
