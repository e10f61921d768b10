import type { Deed } from '@pumicebarrow/forms';

const LENT = /^(burst-\w+)\.(\d+)\.(\d+)$/;

/** What a borrowed request's key says: its burst, its number there, and its mark. */
export const LentKeys = {
  read(d: Deed): { burst: string; place: string; mark: number } | null {
    const m = LENT.exec(String(d['key']));
    return m ? { burst: m[1]!, place: `${m[1]} ${m[2]}`, mark: Number(m[3]) } : null;
  },
  place: (d: Deed): string | null => LentKeys.read(d)?.place ?? null,
};
