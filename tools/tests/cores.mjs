import { readFileSync } from 'node:fs';
import { availableParallelism, totalmem } from 'node:os';

const MOST = 8;
/** Bytes of memory that a process of tests may come to. */
const EACH = 1.4 * 2 ** 30;

/** What a container may use, as its quota says; no bound where there is none. */
const quota = () => {
  try {
    const [time, span] = readFileSync('/sys/fs/cgroup/cpu.max', 'utf8').trim().split(' ').map(Number);
    return time > 0 && span > 0 ? Math.floor(time / span) : Infinity;
  } catch {
    return Infinity;
  }
};

/** How many processes of tests may run at once: as many as there are cores, at most 8, at least 1. */
export const Cores = {
  count() {
    const asked = Number(process.env.PUMICEBARROW_WORKERS) || MOST;
    return Math.max(1, Math.min(MOST, asked, availableParallelism(), quota(), Math.floor((totalmem() * 0.8) / EACH)));
  },
};
