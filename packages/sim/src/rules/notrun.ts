import type { NeverRule } from '../neverrule.js';

/** Never 2. */
export const NotRun: NeverRule = {
  name: 'notrun',
  never: 'told "not run" and it runs anyway',
  judge(h) {
    const ran = new Map(h.of('ran').map((d) => [`${String(d['key'])} ${String(d['attempt'])}`, d]));
    const told = h.of('told').filter((d) => d['ran'] === 'no');
    const broken = told.flatMap((d) => {
      const run = ran.get(`${String(d['key'])} ${String(d['attempt'])}`);
      return run ? [{ at: run.at, why: `${String(d['key'])} try ${String(d['attempt'])} was told not run`, deeds: h.all.filter((x) => x['key'] === d['key']) }] : [];
    });
    return { checked: told.length, broken, worst: `${broken.length} broken` };
  },
};
