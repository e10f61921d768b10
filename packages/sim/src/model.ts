import { Random, Hash, Timer, type RandomSource, type Clock } from '@pumicebarrow/forms';
import type {
  ModelServerState,
  ExecutionBound,
  KvCacheHandle,
  StageOrder,
  DecodeStreamLine,
  RequestAttempt,
} from '@pumicebarrow/counter';
import { createHash } from 'node:crypto';
import { Text } from './text.js';
import { Tide } from './tide.js';
import type { Trick } from './trick.js';

type Kept = { handle: KvCacheHandle; until: number };
type Memory = { key: string; attempt: number; digest: string };
type Settings = { id: string; born: string; addr: string; slots: number; hold: number; pace: number };
type Hooks = {
  /** Fetches prompt memory from the server that read it; null when it has lapsed or can't be had. */
  fetch: (h: KvCacheHandle) => Promise<Memory | null>;
  /** Work is taken in, or turned away since it came too late. */
  took: (part: 'prefill' | 'decode') => void;
  late: (part: 'prefill' | 'decode' | 'order') => void;
  ran: (key: string, attempt: number, digest: string) => void;
  ordered: (slip: StageOrder) => void;
  trick: () => Trick;
};
type Turned = { code: 'busy' | 'wrongpart' | 'lapsed' | 'old' | 'late' | 'bad' };

/** The share of the slots that work which may be overtaken keeps, so that its streams don't fall silent. */
const LEAST = 0.05;

/**
 * A stand-in model server. Invariants: an order older than the newest obeyed is turned away, and so is whatever is
 * meant for another life or comes after its bound, before it changes anything;
 * a decode that is turned away has not run and will not.
 */
export const Model = {
  make(clock: Clock, chance: RandomSource, s: Settings, h: Hooks) {
    let state: ModelServerState = {
      id: s.id,
      born: s.born,
      part: 'none',
      stage: 'serving',
      fence: 0,
      step: 0,
      busy: 0,
      clock: 0,
    };
    const tide = Tide.make(clock);
    /** Meant for another life, or come too late; nothing is changed by it. */
    const past = (b: ExecutionBound, part: 'prefill' | 'decode' | 'order'): boolean => {
      if (b.born === s.born && tide.now() <= b.by) return false;
      h.late(part);
      return true;
    };
    const memory = new Map<string, Kept>();
    let prefixes: readonly string[] = [];
    /** Of what is under way, that which others may overtake. */
    let low = 0;
    const bump = (by: number, job: RequestAttempt): void => {
      if (job.urgency !== undefined) low += by;
      state = { ...state, busy: state.busy + by };
    };
    /** Work that names no urgency is served first; the rest shares what slots that leaves, or a little. */
    const full = (job: RequestAttempt): boolean => state.busy - (job.urgency === undefined ? low : 0) >= s.slots * 4;
    const fair = (job: RequestAttempt): number => {
      const first = state.busy - low,
        left = Math.max(s.slots - first, s.slots * LEAST);
      return s.pace * (job.urgency === undefined ? Math.max(1, first / s.slots) : Math.max(1, low / left));
    };
    return {
      state: (): ModelServerState => ({ ...state, clock: tide.now() }),
      lapse(): void {
        memory.clear();
      },
      order(slip: StageOrder): ModelServerState | Turned {
        if (past(slip, 'order')) return { code: 'late' };
        if (slip.fence < state.fence || (slip.fence === state.fence && slip.step < state.step)) return { code: 'old' };
        state = { ...state, part: slip.part, stage: slip.stage, fence: slip.fence, step: slip.step };
        h.ordered(slip);
        return { ...state, clock: tide.now() };
      },
      async prefill(
        job: RequestAttempt & ExecutionBound & { prefix: string; part: string; weight: number },
      ): Promise<KvCacheHandle | Turned> {
        if (past(job, 'prefill')) return { code: 'late' };
        if (state.part !== 'prefill') return { code: 'wrongpart' };
        if (full(job)) return { code: 'busy' };
        h.took('prefill');
        bump(1, job);
        const prefix = Hash.ofText(job.prefix),
          known = prefixes.includes(prefix);
        prefixes = [prefix, ...prefixes.filter((p) => p !== prefix)].slice(0, 12);
        const size = (known ? 0 : job.prefix.length) + job.part.length;
        await Timer.sleep(clock, fair(job) * (0.5 + size / 400));
        bump(-1, job);
        const handle: KvCacheHandle = {
          id: Random.hexId(chance),
          key: job.key,
          attempt: job.attempt,
          server: s.id,
          born: s.born,
          addr: s.addr,
          digest: Text.digest(job.prefix, job.part),
        };
        memory.set(handle.id, { handle, until: clock.mono() + s.hold });
        if (memory.size > 4096) memory.delete(memory.keys().next().value!);
        const before = [...memory.values()].find((m) => m.handle.key !== job.key)?.handle;
        return h.trick() === 'swap' && before ? before : handle;
      },
      kv(id: string): Memory | null {
        const kept = memory.get(id);
        if (!kept || kept.until < clock.mono()) return null;
        memory.delete(id);
        return { key: kept.handle.key, attempt: kept.handle.attempt, digest: kept.handle.digest };
      },
      async decode(
        job: RequestAttempt & ExecutionBound & { handle: KvCacheHandle; pieces: number },
        emit: (p: DecodeStreamLine) => void,
        on: () => boolean,
      ): Promise<Turned | null> {
        if (past(job, 'decode')) return { code: 'late' };
        if (state.part !== 'decode') return { code: 'wrongpart' };
        if (full(job) || h.trick() === 'flaky') return { code: 'busy' };
        h.took('decode');
        bump(1, job);
        const got = await h.fetch(job.handle);
        const fits =
          got &&
          (h.trick() === 'swap' ||
            (got.key === job.key && got.attempt === job.attempt && got.digest === job.handle.digest));
        if (!fits || (h.trick() !== 'swap' && (job.handle.key !== job.key || job.handle.attempt !== job.attempt))) {
          bump(-1, job);
          return { code: got ? 'bad' : 'lapsed' };
        }
        const trick = h.trick();
        const { digest } = got;
        h.ran(job.key, job.attempt, digest);
        const count = Text.count(digest, job.pieces),
          hash = createHash('sha256');
        const base = {
          key: trick === 'other' ? 'another' : job.key,
          attempt: job.attempt,
          born: trick === 'old' ? 'before' : s.born,
        };
        for (let n = 1; n <= count && on(); n++) {
          await Timer.sleep(clock, fair(job));
          if (trick === 'early' && n === count) break;
          const text = Text.piece(trick === 'other' ? `other ${digest}` : digest, n);
          hash.update(`${n}:${text}\n`);
          if (!(trick === 'skip' && n === 2)) emit({ ...base, n, text });
          if (trick === 'repeat' && n === 1) emit({ ...base, n, text });
        }
        if (on() && trick !== 'torn') emit({ ...base, end: true, count, digest: hash.digest('hex').slice(0, 24) });
        bump(-1, job);
        return null;
      },
    };
  },
};
