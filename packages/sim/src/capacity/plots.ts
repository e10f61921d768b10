import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Chart } from './chart.js';
import { Design } from './design.js';
import { Fits } from './fits.js';
import { Slope } from './slope.js';

type Dot = { x: number; y: number; what: string; kind: string };
const { daemons, servers, budget } = Design;

/** Plots of the slopes. Invariant: what was measured is a dot or a full line; what is beyond it is a dashed line. */
export const Plots = {
  charts: [
    {
      name: 'edge-bytes',
      title: 'An edge daemon, control bytes by fleet size (4 servers)',
      file: ['fleet'],
      role: 'edge',
      unit: 'B/s',
      what: ['core.checkin', 'purge.news', 'purge.pull', 'town.poll'],
      x: 'daemons',
      y: 'bytes a second, in and out',
      to: daemons,
      budget: budget.bytes,
    },
    {
      name: 'server-bytes',
      title: 'An edge daemon, control bytes by number of servers (25 daemons)',
      file: ['servers'],
      role: 'edge',
      unit: 'B/s',
      what: ['back.state', 'town.poll', 'purge.pull'],
      x: 'servers',
      y: 'bytes a second, in and out',
      to: servers,
      budget: budget.bytes,
    },
    {
      name: 'rounds',
      title: 'Rounds of 150 ms until all daemons hold a notice',
      file: ['spread', 'burst'],
      role: 'edge',
      unit: 'rounds',
      what: ['rounds, median', 'rounds, worst'],
      x: 'daemons',
      y: 'rounds',
      to: daemons,
      linear: true,
    },
    {
      name: 'roster-time',
      title: 'Work over the live daemons',
      file: ['roster'],
      role: 'edge',
      unit: 'us',
      what: ['whose duty, a key', 'a check-in at the head', 'writing the roster out', 'reading the roster'],
      x: 'daemons',
      y: 'microseconds a call',
      to: daemons,
    },
    {
      name: 'table-time',
      title: 'Work over servers and rows',
      file: ['list', 'rows'],
      role: 'edge',
      unit: 'us',
      what: [
        'choosing who reads',
        'choosing who writes',
        'the part of one row',
        'a row taken by the shelf',
        'digests over ranges',
      ],
      x: 'servers, or rows',
      y: 'microseconds a call',
      to: servers,
    },
  ] as readonly Chart[],
  async dots(dir: string, c: Chart): Promise<Dot[]> {
    const out: Dot[] = [];
    // One line of a figure that more than one run has: they have sizes of their own.
    const groups = c.linear ? c.file.map((f) => [f]) : [c.file];
    for (const files of groups)
      for (const name of c.what) {
        const read = files.map(async (file) => Slope.points(await Fits.read(dir, file), c.role, name, c.unit));
        const points = (await Promise.all(read)).flat().sort((a, b) => a[0] - b[0]),
          what = c.file.length > 1 && c.linear ? `${files[0]}: ${name}` : name;
        if (points.length < 2) continue;
        out.push(...points.map(([x, y]) => ({ x, y: c.linear ? y : Math.max(y, 0.1), what, kind: 'measured' })));
        const last = points.at(-1)!;
        if (last[0] >= c.to) continue;
        const shape = c.linear ? 'log' : c.unit === 'us' ? 'power' : 'line';
        const fit = Slope.fit(shape, shape === 'power' ? points.filter(([x]) => x >= 200) : points);
        for (const x of [last[0], c.to]) out.push({ x, y: Math.max(fit.at(x), 0.1), what, kind: 'extrapolated' });
      }
    return out;
  },
  spec(c: Chart, dots: readonly Dot[]): Record<string, unknown> {
    const x = {
      field: 'x',
      type: 'quantitative',
      title: c.x,
      scale: { type: 'log', nice: false },
      axis: { format: ',' },
    };
    const scale = c.linear ? { type: 'linear', zero: true } : { type: 'log' };
    const y = { field: 'y', type: 'quantitative', title: c.y, scale, axis: { format: ',~s' } };
    const color = { field: 'what', type: 'nominal', title: null, legend: { labelLimit: 320 } };
    const only = (kind: string) => [{ filter: `datum.kind === '${kind}'` }];
    const limit = [
      { data: { values: [{ y: c.budget }] }, mark: { type: 'rule', color: 'black' }, encoding: { y } },
      {
        data: { values: [{ y: c.budget, t: 'budget' }] },
        mark: { type: 'text', align: 'left', dy: -6, x: 4 },
        encoding: { y, text: { field: 't' } },
      },
    ];
    return {
      title: c.title,
      width: 560,
      height: 320,
      background: 'white',
      data: { values: dots },
      layer: [
        { transform: only('measured'), mark: { type: 'line', point: true }, encoding: { x, y, color } },
        { transform: only('extrapolated'), mark: { type: 'line', strokeDash: [5, 4] }, encoding: { x, y, color } },
        ...(c.budget === undefined ? [] : limit),
      ],
    };
  },
  async draw(from: string, to: string, charts: readonly Chart[]): Promise<string[]> {
    const [vega, lite] = await Promise.all([import('vega'), import('vega-lite')]);
    await mkdir(to, { recursive: true });
    const out: string[] = [];
    for (const c of charts) {
      const { spec } = lite.compile(Plots.spec(c, await Plots.dots(from, c)) as never);
      const view = new vega.View(vega.parse(spec), { renderer: 'none' });
      const path = join(to, `capacity-${c.name}.svg`);
      await writeFile(path, `${await view.toSVG()}\n`);
      out.push(path);
    }
    return out;
  },
};
