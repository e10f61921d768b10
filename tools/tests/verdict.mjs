/**
 * What all reports together come to. Invariants: every test that was found runs once, in one process; a listed one fails,
 * any other passes or is skipped; a failure that has no test of its own (a hook's) counts as one.
 */
export const Verdict = {
  of(found, reports, crashes, listed) {
    const faults = crashes.map((c) => `a process of tests ${c}`);
    const at = new Map();
    for (const r of reports) at.set(r.title, [...(at.get(r.title) ?? []), r.state]);
    const failed = new Set(), passed = new Set(), skipped = new Set(), lost = new Set();
    const known = new Set(found);
    for (const t of known) {
      const n = found.filter((x) => x === t).length;
      if (n > 1) faults.push(`is there ${n} times: ${t}`);
    }
    for (const [t, states] of at) {
      if (states.includes('failed')) failed.add(t);
      else if (states.includes('passed')) passed.add(t);
      else skipped.add(t);
      if (states.length > 1 && known.has(t)) faults.push(`was reported ${states.length} times: ${t}`);
      if (!known.has(t) && !failed.has(t)) faults.push(`ran and was not found before: ${t}`);
    }
    const red = new Set(listed);
    for (const t of known) if (!at.has(t)) lost.add(t);
    for (const t of failed) if (!red.has(t)) faults.push(`fails and is not listed: ${t}`);
    for (const t of lost) if (!red.has(t)) faults.push(`did not run: ${t}`);
    for (const t of red) if (!failed.has(t)) faults.push(`is listed and ${passed.has(t) ? 'passes' : 'did not run'}: ${t}`);
    if (passed.size + failed.size === 0) faults.push('no test ran');
    return {
      ...{ faults, red: [...red].filter((t) => failed.has(t)) },
      ...{ passed: passed.size, failed: failed.size + lost.size, skipped: skipped.size },
    };
  },
};
