import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Slope } from './slope.js';
import type { Wanted } from './wanted.js';

type Shape = Wanted['shape'];
type Row = Wanted & { fit: ReturnType<typeof Slope.fit>; last: number; target: number };

const { daemons, servers } = Design;
const of =
  (file: string, role: string, unit: string, shape: Shape, to: number) =>
  (what: string): Wanted => ({ file, role, what, unit, shape, to });

/** Which slopes are drawn to the design size, and how. */
export const Fits = {
  wanted: [
    ...['purge.news', 'purge.pull', 'core.checkin', 'all'].map(of('fleet', 'edge', 'B/s', 'line', daemons)),
    ...['purge.news', 'core.checkin', 'all'].map(of('fleet', 'edge', 'frames/s', 'line', daemons)),
    ...['core.checkin', 'all'].map(of('fleet', 'head', 'B/s', 'power', daemons)),
    ...['core.beat'].map(of('fleet', 'head', 'B/s', 'line', daemons)),
    ...['core.checkin', 'all'].map(of('fleet', 'head', 'frames/s', 'line', daemons)),
    ...['all'].map(of('fleet', 'tail', 'B/s', 'line', daemons)),
    ...['town.poll'].map(of('fleet', 'platform', 'frames/s', 'line', daemons)),
    ...['back.state'].map(of('fleet', 'server', 'frames/s', 'line', daemons)),
    ...['slowest hold'].map(of('fleet', 'edge', 'ms', 'log', daemons)),
    ...['back.state', 'town.poll', 'purge.pull'].map(of('servers', 'edge', 'B/s', 'line', servers)),
    ...['back.state'].map(of('servers', 'edge', 'frames/s', 'line', servers)),
    ...['core.push', 'core.write'].map(of('servers', 'head', 'B/s', 'line', servers)),
    ...['core.write'].map(of('servers', 'head', 'frames/s', 'line', servers)),
    ...['rounds, median', 'rounds, worst'].map(of('spread', 'edge', 'rounds', 'log', daemons)),
    ...['purge.news', 'purge.pull'].map(of('spread', 'edge', 'B/s', 'log', daemons)),
    ...['a change of the whole list'].map(of('wholelist', 'edge', 'B', 'line', servers)),
    ...['rounds, median', 'rounds, worst'].map(of('spreadfar', 'edge', 'rounds', 'log', daemons)),
    ...['rounds, median', 'rounds, worst'].map(of('burst', 'edge', 'rounds', 'log', daemons)),
    ...['ms', 'frames', 'B'].map((u) => of('newcomer', 'edge', u, 'line', servers)('until it holds all')),
    ...['ms'].map((u) => of('far', 'edge', u, 'line', servers)('until it holds all')),
    ...['whose duty, a key', 'a check-in at the head', 'writing the roster out', 'reading the roster'].map(
      of('roster', 'edge', 'us', 'power', daemons),
    ),
    ...['the roster'].map(of('roster', 'edge', 'B', 'line', daemons)),
    ...['a row taken by the shelf', 'digests over ranges'].map(of('rows', 'edge', 'us', 'power', servers)),
    ...['marks of one range that differs'].map(of('rows', 'edge', 'B', 'line', servers)),
    ...['choosing who reads', 'choosing who writes', 'the part of one row', 'reading the list'].map(
      of('list', 'edge', 'us', 'power', servers),
    ),
    ...['the list', 'the charter', 'the claims'].map(of('list', 'edge', 'B', 'line', servers)),
    ...['anchorhead', 'anchoredge'].flatMap((f) => [
      ...['core%', 'rss'].map((u) => of(f, f.slice(6), u, 'line', daemons)('process')),
      of(f, f.slice(6), 'count', 'line', daemons)('files and sockets open'),
    ]),
  ] as readonly Wanted[],
  read: async (dir: string, file: string): Promise<Figure[]> =>
    readFile(join(dir, `${file}.json`), 'utf8').then(
      (t) => JSON.parse(t) as Figure[],
      () => [],
    ),
  async rows(dir: string, wanted: readonly Wanted[]): Promise<Row[]> {
    const out: Row[] = [];
    for (const w of wanted) {
      const points = Slope.points(await Fits.read(dir, w.file), w.role, w.what, w.unit);
      // What is timed below the size of the processor's caches and of the compiler's warming up bends the power.
      const seen = w.shape === 'power' ? points.filter(([x]) => x >= 200) : points;
      if (seen.length < 2) continue;
      const fit = Slope.fit(w.shape, seen);
      out.push({ ...w, fit, last: seen.at(-1)![1], target: fit.at(w.to) });
    }
    return out;
  },
  line(r: Row): string {
    const n = (v: number): string => v.toLocaleString('en', { maximumSignificantDigits: 4 });
    const { a, b } = r.fit,
      slope =
        r.shape === 'power' ? `${n(2 ** a)} x^${n(b)}` : `${n(a)} + ${n(b)} ${r.shape === 'log' ? 'log2 x' : 'x'}`;
    const far = r.to <= r.fit.to ? 'measured' : `${n(r.to / r.fit.to)} x beyond`;
    return (
      `| ${r.file} | ${r.role}: ${r.what}, ${r.unit} | ${slope} | ${r.fit.r2.toFixed(3)} | ` +
      `${n(r.fit.from)}–${n(r.fit.to)} (${r.fit.n}) | ${n(r.last)} | ${n(r.to)}: ${n(r.target)} | ${far} |`
    );
  },
  head:
    '| run | figure | slope | r2 | range (sizes) | at the largest | at the design size | |\n' +
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
};
