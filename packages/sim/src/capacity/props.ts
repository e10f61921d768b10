import {
  ServerClockTable,
  LoadTracker,
  LiveServerPicker,
  FleetRecords,
  Ejections,
  InventoryWatcher,
  type ModelServerClient,
  type ListedServer,
} from '@pumicebarrow/counter';
import {
  Err,
  Ok,
  type FleetConfiguration,
  type Clock,
  type Doc,
  type Ident,
  type Messenger,
  type World,
} from '@pumicebarrow/forms';
import { InMemoryRecordStore } from '@pumicebarrow/purge';
import { Design } from './design.js';
import { Hollow } from './hollow.js';

const word = (n: number): string => n.toString(16).padStart(12, '0');

/** What the timed work is done on: as many servers, rows and daemons as are asked for, told by the real parts. */
export const Props = {
  zone: (i: number): string => `s${i % Design.zones}`,
  ident: (i: number): Ident => ({
    id: `e${i + 1}`,
    born: word(i),
    addr: `10.1.${Math.floor(i / 250)}.${(i % 250) + 1}:7000`,
    site: Props.zone(i),
    role: 'counter',
  }),
  idents: (n: number): Ident[] => Array.from({ length: n }, (_, i) => Props.ident(i)),
  listed: (n: number): ListedServer[] =>
    Array.from({ length: n }, (_, i) => ({
      id: `m${i + 1}`,
      addr: `10.2.${Math.floor(i / 250)}.${(i % 250) + 1}:80`,
      site: Props.zone(i),
      born: `m${i + 1}-${word(i)}`,
      mark: 'serving',
    })),
  charter(n: number): FleetConfiguration {
    const { charter } = Hollow.deployment(1, n);
    return { ...charter, servers: charter.servers.map((s, i) => ({ ...s, site: Props.zone(i), slots: 256 })) };
  },
  /** The row of server i; 34 of 100 read. */
  row: (i: number, step = 0): Doc => ({
    name: `row:m${i + 1}`,
    mark: [1, step],
    body: {
      server: `m${i + 1}`,
      born: `m${i + 1}-${word(i)}`,
      part: i % 50 < 17 ? 'prefill' : 'decode',
      stage: 'serving',
      by: 'e1',
    },
  }),
  clock: (): Clock => ({ mono: () => 5000, wall: () => 5000, after: () => () => undefined }),
  world: (clock: Clock): World => ({
    clock,
    random: { real: () => 0.5 },
    wire: { ask: () => Promise.resolve(Err('unsent')), tell: () => undefined, onMessage: () => undefined },
    disk: null,
    log: () => ({ info: () => undefined, warn: () => undefined }),
    recordEvent: () => undefined,
  }),
  shelf(rows: number) {
    const shelf = InMemoryRecordStore.make(() => true);
    for (let i = 0; i < rows; i++) shelf.offer(Props.row(i));
    return shelf;
  },
  /** The real choice of servers over a whole list, as one daemon of `roster` has it. Each server was hailed. */
  async choice(servers: number, roster: readonly Ident[]) {
    const clock = Props.clock(),
      list = Props.listed(servers);
    const docs = new Map<string, Doc>(list.map((_, i) => [`row:m${i + 1}`, Props.row(i)]));
    docs.set('charter', { name: 'charter', mark: [1, 0], body: { charter: Props.charter(servers) } });
    const sheet = FleetRecords.make({
      ...InMemoryRecordStore.make(() => true),
      records: () => docs,
      get: (name) => docs.get(name) ?? null,
      stamp: (name) => docs.get(name)?.mark ?? null,
    });
    const by = new Map(list.map((s) => [s.addr, s]));
    const back = {
      fetchState: (addr: string) => Promise.resolve(Ok({ born: by.get(addr)!.born, clock: 1 })),
    } as unknown as ModelServerClient;
    const post = { on: () => undefined, ask: () => Promise.resolve(Err('unsent')) } as unknown as Messenger;
    const town = InventoryWatcher.make(
      Props.world(clock),
      post,
      { poll: () => Promise.resolve(Ok({ servers: list })) },
      () => [],
    );
    town.start();
    const hails = ServerClockTable.make(
      clock,
      back,
      () => list,
      () => undefined,
    );
    await Promise.resolve();
    await Promise.all(list.map((s) => hails.probe(s, 100)));
    const loads = LoadTracker.make();
    const choice = LiveServerPicker.make({
      hails,
      sheet,
      town,
      loads,
      ejections: Ejections.make(clock),
      roster: () => roster,
    });
    return { choice, loads, list, town, sheet };
  },
};
