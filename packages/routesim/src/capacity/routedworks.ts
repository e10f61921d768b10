import { SchemaCheck, Hash, Ok, type RandomSource, type Clock, type Ident, type Messenger } from '@pumicebarrow/forms';
import { InMemoryRecordStore, type GossipNode } from '@pumicebarrow/purge';
import {
  PrefixCacheEstimate,
  ServerListBody,
  ServerListRows,
  LoadGossip,
  Placement,
  ServerHealth,
  ServerList,
  ServerLoads,
  SharedDocumentCheck,
  StageBalancer,
  type ModelServerClient,
  type Prompt,
  type Server,
} from '@pumicebarrow/router';
import { Design, Hollow, Timed, type Figure } from '@pumicebarrow/sim';
import { HollowList } from './hollowlist.js';
import { HollowRouting } from './hollowrouting.js';

type Desk = (body: never, from: Ident) => unknown;
type Work = (what: string, unit: string, value: number) => Figure;
const FEW = 6;
const LOOK_MS = 1000;
const quiet = { info: () => undefined, warn: () => undefined };
const clock: Clock = { mono: () => 5000, wall: () => 5000, after: () => () => undefined };
const chance: RandomSource = { real: () => 0.5 };

/** Single pieces of the routed daemons' work, timed alone; `at` is the size of the table they work on. */
export const RoutedWorks = {
  of:
    (axis: string, at: number, role: string): Work =>
    (what, unit, value) =>
      Hollow.figure({ run: 'work', axis, at }, role, what, unit, value),
  post() {
    const desks = new Map<string, Desk>();
    const post = {
      on: (kind: string, _form: unknown, fn: Desk) => void desks.set(kind, fn),
      onTell: (kind: string, _form: unknown, fn: Desk) => void desks.set(kind, fn),
      tell: () => undefined,
      ask: () => Promise.resolve(Ok({ ok: true })),
    } as unknown as Messenger;
    return { post, hear: (kind: string, body: unknown, from: Ident) => desks.get(kind)!(body as never, from) };
  },
  ident: (i: number): Ident => ({
    ...{
      id: `r${i + 1}`,
      born: Hash.ofText(String(i)).slice(0, 12),
      addr: `10.1.${Math.floor(i / 250)}.${i % 250}:7000`,
    },
    ...{ site: `zone-${i % Design.zones}`, role: 'counter' },
  }),
  /** What is done with the whole list, at a router and at the head. */
  table(n: number): Figure[] {
    const servers = HollowList.servers(n),
      body = ServerListRows.pack(servers),
      text = JSON.stringify(body);
    const router = RoutedWorks.of('servers', n, 'router'),
      head = RoutedWorks.of('servers', n, 'head');
    let at = 0;
    const made = () => {
      const list = ServerList.make(
        { ...clock, mono: () => at },
        () => LOOK_MS,
        () => undefined,
      );
      const health = ServerHealth.make(clock),
        kept = PrefixCacheEstimate.make(() => 400_000);
      list.subscribe((now) => {
        const ids = new Set(now.map((s) => s.id));
        kept.retain(ids);
        health.retain(ids);
      });
      return { list, health, kept };
    };
    const { list, health, kept } = made();
    const take = (): void => void list.replace(ServerListRows.unpack(body), ++at, 'shared');
    const shelf = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
    const loads = ServerLoads.make();
    const placement = Placement.make({
      ...{ random: chance, zone: 'zone-1', list, loads, health, kept },
      changing: () => (s: Server) => shelf.get(`row:${s.id}`) !== null,
      linked: () => false,
      pace: () => 40,
      speed: () => 1,
      wait: () => 0,
    });
    const routing = HollowRouting.make(1, 8);
    let turn = 0;
    const prompt = (): Prompt => ({
      ...{ model: 'm0', tokens: 5900, most: 486 },
      parts: [
        { id: `s${turn++ % 100}`, tokens: 4000 },
        { id: `o${turn}`, tokens: 1900 },
      ],
    });
    const [service] = routing.services,
      [route] = routing.routes;
    const none = new Set<string>();
    const stages = StageBalancer.make({
      ...{
        clock,
        log: quiet,
        engine: {} as ModelServerClient,
        gossip: { publish: () => true } as unknown as GossipNode,
        store: shelf,
      },
      ...{
        fence: () => 1,
        firstStep: () => 0,
        self: 'k1',
        servers: () => servers,
        load: () => ({ read: 0, beside: 0, run: 0 }),
        lease: -1e6,
        away: () => 0,
      },
    });
    const figures = [
      router('the list taken up at a check-in', 'us', Timed.us(take)),
      router(
        'a list read and checked',
        'us',
        Timed.us(() => SchemaCheck.matches(ServerListBody, JSON.parse(text))),
      ),
      router(
        'choosing who reads',
        'us',
        Timed.us(() => placement.evaluate(service!, route!, prompt(), none)),
      ),
      router(
        'choosing who decodes',
        'us',
        Timed.us(() => placement.chooseDecode(service!, prompt(), servers[0]!, none)),
      ),
      router('the list', 'B', text.length),
      head(
        'the list packed and hashed',
        'us',
        Timed.us(() => Hash.ofValue(ServerListRows.pack(servers))),
      ),
      head(
        'a look at the stages',
        'us',
        Timed.us(() => stages.tick()),
      ),
    ];
    const heap = Timed.heap(() => {
      const m = made();
      m.list.replace(ServerListRows.unpack(JSON.parse(text) as ServerListBody), 1, 'shared');
      return [m, JSON.parse(text) as unknown];
    });
    return [...figures, router('the list in memory, twice', 'heap', heap / n)];
  },
  /** News of loads, with so many servers in it. */
  loads(n: number): Figure[] {
    const one = RoutedWorks.of('requests under way', n, 'router');
    const { post, hear } = RoutedWorks.post();
    const loads = ServerLoads.make();
    const news = LoadGossip.make({ clock, post, loads, peers: () => [], routerCount: () => Design.daemons });
    const rows = Array.from({ length: n }, (_, i) => [HollowList.server(i * 13, 0, Design.servers).id, 1, 0, 0]);
    for (const [id] of rows) loads.beginRun(String(id));
    const from = Array.from({ length: FEW }, (_, i) => RoutedWorks.ident(i));
    const tell = (): void => from.forEach((who) => void hear('router.loads', { rows }, who));
    tell();
    return [
      one(
        'a tick of news, nothing told',
        'us',
        Timed.us(() => news.tick()),
      ),
      one(
        'news heard of one',
        'us',
        Timed.us(() => hear('router.loads', { rows }, from[0]!)),
      ),
      one('news of one', 'B', JSON.stringify({ rows }).length),
    ];
  },
  /** Prompts remembered for servers, so many of them at as many servers as are at the design size. */
  prompts(n: number): Figure[] {
    const one = RoutedWorks.of('prompts', n, 'router');
    const names = HollowList.servers(Design.servers).map((s) => s.id);
    const heap = Timed.heap(() => {
      const kept = PrefixCacheEstimate.make(() => 400_000);
      for (let i = 0; i < n; i++)
        kept.record(names[(i * 7919) % names.length]!, {
          ...{ model: 'm0', tokens: 5900, most: 486 },
          parts: [
            { id: `system-${i % 100}`, tokens: 2000 },
            { id: `talk-${i}`, tokens: 2000 },
            { id: `turn-${i}`, tokens: 1900 },
          ],
        });
      return kept;
    });
    return [
      one('prompts remembered, all together', 'heap', heap),
      one('servers with some', 'count', Math.min(n, names.length)),
    ];
  },
};
