import type { Rule } from '../rule.js';

/** A request that may not be repeated runs once at the most. */
export const TwiceRule: Rule = {
  name: 'TWICE',
  check(e) {
    const once = [...e.ran].filter(([id]) => {
      const s = e.sent.get(id);
      return s && s.kind !== 'idempotent' && !s.resumable;
    });
    const faults = once
      .filter(([, r]) => r.length > 1)
      .map(([id, r]) => `${id} ran at ${r.map((x) => x.server).join()}`);
    const unasked = [...e.ran.keys()].filter((id) => !e.sent.has(id)).map((id) => `${id} was asked by nobody`);
    return { faults: [...faults, ...unasked], looked: once.length };
  },
};
