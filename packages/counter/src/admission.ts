import { Indices, Verdicts, type Charter, type Result, type Rule, type Verdict, Err, Ok } from '@pumicebarrow/forms';
import type { Loads } from './loads.js';
import type { Choosing } from './choosing.js';
import type { Request } from './request.js';
import type { Queue } from './queue.js';

type Tools = {
  site: string;
  charter: () => Charter | null;
  open: () => Verdict | null;
  young: () => boolean;
  queue: ReturnType<typeof Queue.make>;
  choice: Choosing;
  loads: ReturnType<typeof Loads.make>;
};
const HELD = '*turn';

/**
 * Who may come in. Invariants: a rule never has more than `limit` requests under way nor more than `waitlist` waiting;
 * a turn is given only against room at the readers that no other turn has been promised.
 */
export const Admission = {
  make(t: Tools) {
    const index = Indices.make();
    const under: number[] = [];
    const room = (rule: Rule): boolean =>
      (under[index.of(rule.name)] ?? 0) < rule.limit && t.choice.roomy('prefill', rule, HELD);
    return {
      /** What the charter says of this request, or why it may not come in. */
      check(v: Request): Result<Rule, Verdict> {
        const shut = t.open();
        if (shut) return Err(shut);
        const c = t.charter();
        if (!c) return Err(Verdicts.not('nocharter', 'No charter is in force yet.', 1));
        const name = v.rule ?? c.fallback;
        const rule = c.rules.find((r) => r.name === name);
        if (!rule) return Err(Verdicts.not('unknownrule', `There is no rule ${name ?? '(none named)'}.`));
        if (rule.sites && !rule.sites.includes(t.site))
          return Err(Verdicts.not('othersite', `Rule ${rule.name} is not served at ${t.site}.`));
        if (Buffer.byteLength(v.prefix) + Buffer.byteLength(v.part) > rule.bytes)
          return Err(Verdicts.not('toolarge', `Rule ${rule.name} takes ${rule.bytes} bytes at the most.`));
        if (!t.young()) return Err(Verdicts.not('oldlist', "The platform's list is too old to send by.", 1));
        if (t.choice.usable('prefill').length === 0 || t.choice.usable('decode').length === 0)
          return Err(Verdicts.not('noserver', 'No server can take this now.', 1));
        if (t.queue.length(rule.name) >= rule.waitlist)
          return Err(
            Verdicts.not(
              'full',
              `The queue of ${rule.name} is full.`,
              Math.min(15, Math.max(1, Math.ceil(Math.max(rule.deadline / 2, t.queue.foresee(rule.urgency)) / 1000))),
            ),
          );
        const wait = t.queue.foresee(rule.urgency);
        if (wait > rule.deadline)
          return Err(
            Verdicts.not(
              'slow',
              `The wait would be about ${Math.round(wait / 1000)} s, longer than ${rule.name} may wait.`,
              Math.max(1, Math.ceil((wait - rule.deadline) / 1000)),
            ),
          );
        return Ok(rule);
      },
      room,
      /** Counts a request as under way, and promises it room until it has a server. */
      begin(rule: Rule): { settled: () => void; over: () => void } {
        const i = index.of(rule.name);
        under[i] = (under[i] ?? 0) + 1;
        let open = true;
        return {
          settled: t.loads.take(HELD, rule.weight),
          over: () => {
            if (open) under[i] = (under[i] ?? 1) - 1;
            open = false;
          },
        };
      },
      under: (): number => under.reduce((a, b) => a + b, 0),
    };
  },
};
