import type { Clock } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Entry } from './entry.js';
import type { LedgerWords } from './ledgerwords.js';

type Say = Static<typeof LedgerWords.opened>['say'];
const KEEP = 15 * 60_000;
const MOST = 200_000;

/** The owner's side of the request ledger: in memory, for the keys that fall to this daemon. */
export const Ledger = {
  make(clock: Clock) {
    const rows = new Map<string, Entry>();
    const put = (key: string, e: Entry): void => {
      rows.delete(key);
      rows.set(key, e);
      for (const [k, r] of rows) {
        if (rows.size <= MOST && clock.mono() - r.at < KEEP) break;
        rows.delete(k);
      }
    };
    return {
      size: (): number => rows.size,
      get: (key: string): Entry | undefined => rows.get(key),
      open(key: string, attempt: number, digest: string, proven: boolean, by: string): Say {
        const r = rows.get(key),
          fresh: Entry = { digest, attempt, state: 'open', by, at: clock.mono() };
        if (!r) {
          if (attempt > 1 && !proven) return 'unknown';
          put(key, fresh);
          return 'ok';
        }
        if (r.digest !== digest) return 'other';
        if (r.state === 'ran') return 'ran';
        if (r.state === 'sent') return 'sent';
        if (attempt < r.attempt) return 'twin';
        if (attempt === r.attempt) return r.state === 'closed' ? 'closed' : 'twin';
        if (attempt > r.attempt + 1 && !proven) return 'unknown';
        put(key, fresh);
        return 'ok';
      },
      step(key: string, attempt: number, digest: string, to: 'sent' | 'closed' | 'ran', by: string): boolean {
        const r = rows.get(key);
        if (to === 'closed' && !r && attempt === 1) {
          put(key, { digest, attempt, state: 'closed', by, at: clock.mono() });
          return true;
        }
        if (!r || r.digest !== digest) return false;
        if (to === 'closed' && attempt === r.attempt + 1 && (r.state === 'closed' || r.state === 'open')) {
          put(key, { digest, attempt, state: 'closed', by, at: clock.mono() });
          return true;
        }
        if (r.attempt !== attempt || (r.by !== by && r.state !== to)) return false;
        const good = to === 'sent' ? r.state === 'open' : to === 'closed' ? r.state !== 'ran' : r.state === 'sent';
        if (good) put(key, { ...r, state: to, at: clock.mono() });
        return good;
      },
    };
  },
};
