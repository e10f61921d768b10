import { Anchor } from './anchor.js';
import type { Figure } from './figure.js';
import { Handover } from './handover.js';
import { Hollow } from './hollow.js';
import { Losses } from './losses.js';
import { Newcomer } from './newcomer.js';
import { Swaps } from './swaps.js';
import { WholeList } from './wholelist.js';
import { Works } from './works.js';

type Job = (n: number, seed: number) => Figure[] | Promise<Figure[]>;
const fleet: Job = (n, seed) => Hollow.fleet({ run: 'fleet', axis: 'daemons', at: n, edges: n, servers: 4, seed });
const servers: Job = (n, seed) => Hollow.fleet({ run: 'servers', axis: 'servers', at: n, edges: 25, servers: n, seed });
const spread: Job = (n, seed) => Hollow.purge('spread', n, 12, 14, 1, seed);
const spreadfar: Job = (n, seed) => Hollow.purge('spreadfar', n, 12, 14, 1, seed, 35);
const burst: Job = (n, seed) => Hollow.purge('burst', n, 100, 1, 100, seed);
const sizes = [25, 50, 100, 200, 400, 800];
const real = [10, 25, 40, 80];
const tables = [...sizes, 1600, 3200, 10_000];

/** The runs of `sim capacity`, by name, each with the sizes it is made at. */
export const Runs: Record<string, { about: string; sizes: readonly number[]; job: Job }> = {
  fleet: { about: 'whole hollow fleets, four servers', sizes, job: fleet },
  servers: { about: '25 hollow daemons, more and more servers', sizes: [4, 8, 16, 32, 64, 128, 256], job: servers },
  spread: { about: '40,000 notices a day', sizes: [...sizes, 1600, 2900], job: spread },
  spreadfar: { about: 'the same, 35 ms apart', sizes: [100, 200, 400, 800], job: spreadfar },
  burst: { about: '100 notices at once', sizes: sizes.slice(0, 5), job: burst },
  newcomer: { about: 'an empty daemon beside eight', sizes, job: (n, seed) => Newcomer.run(n, seed) },
  far: { about: 'the same, 35 ms away', sizes: sizes.slice(0, 4), job: (n, seed) => Newcomer.run(n, seed, 35) },
  wholelist: { about: 'the list as one doc, 50 daemons', sizes: [25, 100, 400, 1600, 10_000], job: WholeList.run },
  handover: { about: 'where many daemons send', sizes: [200, 400, 800, 1600], job: Handover.run },
  losses: { about: 'a zone and a region lost', sizes: sizes.slice(0, 4), job: Losses.run },
  swap: { about: 'time to swap, at three seeds', sizes: [1, 2, 3], job: Swaps.run },
  rows: { about: 'timed work over rows', sizes: tables, job: (n) => Works.rows(n) },
  roster: { about: 'timed work over live daemons', sizes: [...sizes, 1600, 2900], job: (n) => Works.daemons(n) },
  list: { about: 'timed work over servers', sizes: tables, job: (n) => Works.servers(n) },
  anchorhead: { about: 'a real head among hollow daemons', sizes: real, job: (n) => Anchor.run(n, 'head') },
  anchoredge: { about: 'a real edge daemon among them', sizes: real, job: (n) => Anchor.run(n, 'edge') },
  ledger: { about: 'timed work over records', sizes: [1000, 10_000, 20_000, 100_000], job: (n) => Works.ledger(n) },
};
