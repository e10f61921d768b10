import { writeFile } from 'node:fs/promises';
import type { LentMeasure } from './lentmeasure.js';

type Days = Awaited<ReturnType<typeof LentMeasure.days>>;
const BIN = 1000;

/** The report of one day: live waits of each kind of day, and what was lent, over time. */
export const LentReport = {
  spec(title: string, d: Days): Record<string, unknown> {
    const waits = (['without', 'lends', 'split'] as const).flatMap((day) =>
      d[day].dots.map((x) => ({ day, at: (Math.floor(x.at / BIN) * BIN) / 1000, ms: x.ms })),
    );
    const x = { field: 'at', type: 'quantitative', title: 'seconds', scale: { domain: [0, d.lends.ms / 1000] } };
    const color = { field: 'day', type: 'nominal', title: null };
    const y = { aggregate: 'max', field: 'ms', type: 'quantitative', title: 'longest wait for a first piece, ms' };
    const lent = d.lends.lentslots.map((s) => ({ at: s.at / 1000, slots: s.slots }));
    const slots = { field: 'slots', type: 'quantitative', title: 'slots lent' };
    return {
      title,
      background: 'white',
      vconcat: [
        { width: 640, height: 220, data: { values: waits }, mark: 'line', encoding: { x, y, color } },
        {
          ...{ width: 640, height: 140, data: { values: lent } },
          mark: { type: 'area', interpolate: 'step-after' },
          encoding: { x, y: slots },
        },
      ],
    };
  },
  async draw(path: string, title: string, d: Days): Promise<void> {
    const [vega, lite] = await Promise.all([import('vega'), import('vega-lite')]);
    const { spec } = lite.compile(LentReport.spec(title, d) as never);
    const view = new vega.View(vega.parse(spec), { renderer: 'none' });
    await writeFile(path, `${await view.toSVG()}\n`);
  },
};
