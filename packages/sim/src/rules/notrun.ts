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
      return run
        ? [
            {
              at: run.at,
              why: `${String(d['key'])} try ${String(d['attempt'])} was told not run`,
              deeds: h.all.filter((x) => x['key'] === d['key']),
            },
          ]
        : [];
    });
    // One attempt sent to several daemons: what one tells is of its own call.
    const sends = new Set(
      h
        .of('send')
        .filter((d) => d['part'] === 'decode')
        .map((d) => `${d.who} ${String(d['key'])}`),
    );
    const twins = h
      .of('twin')
      .filter((d) => d['ran'] === 'no' && d['out'] === 'refused' && sends.has(`${d.who} ${String(d['key'])}`));
    return {
      checked: told.length,
      broken: [
        ...broken,
        ...twins.map((d) => ({
          at: d.at,
          why: `${String(d['key'])} was sent by ${d.who}, which told not run`,
          deeds: [d],
        })),
      ],
      worst: `${broken.length} broken`,
    };
  },
};
