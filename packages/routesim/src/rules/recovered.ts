import { Bounds } from '../bounds.js';
import type { Rule } from '../rule.js';

/** After a loss of all, requests are served again. */
export const RecoveredRule: Rule = {
  name: 'RECOVER',
  check(e) {
    const closed = e.of('closed')[0];
    if (!closed) return { faults: [], looked: 0 };
    const share = (from: number, to: number): { part: number; n: number } => {
      const some = e
        .of('sent')
        .filter((s) => s.at >= from && s.at < to && s.path !== '/flip/' && !s.path.startsWith('/mark'));
      const whole = some.filter((s) => e.answered.get(s.id)?.outcome === 'whole');
      return { part: whole.length / Math.max(1, some.length), n: some.length };
    };
    const before = share(0, closed.at),
      after = share(closed.back + Bounds.recovery, e.end - Bounds.deadline);
    const bad = before.part >= 0.25 && after.part < 0.25;
    return { faults: bad ? [`served ${after.part} of ${after.n}, ${before.part} before`] : [], looked: after.n };
  },
};
