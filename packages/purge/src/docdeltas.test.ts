import {
  SchemaCheck,
  Err,
  Logs,
  Ok,
  Messaging,
  type Doc,
  type Ident,
  type Message,
  type World,
} from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Type } from 'typebox';
import type { DocDelta } from './docdelta.js';
import { DocDeltas } from './docdeltas.js';
import { DocPuller } from './docpuller.js';
import { InMemoryRecordStore } from './inmemoryrecordstore.js';

type Row = [string, number, string];
const row = (i: number, incarnation = 0): Row => [
  `server-${i * 7919}-${incarnation}`,
  i % 8,
  `10.2.${i % 250}.${i % 7}:8080`,
];
const rows = (n: number): Row[] => Array.from({ length: n }, (_, i) => row(i));
const ROW_COUNT = 5000;
const doc = (step: number, content: readonly unknown[]): Doc => ({
  name: 'list',
  mark: [1, step],
  body: { rows: content },
});
const size = (d: Doc): number => JSON.stringify(d.body).length;
const copy = <T>(v: T): T => JSON.parse(JSON.stringify(v)) as T;

const withChangedRow = (all: Row[], at: number): Row[] => all.map((r, i) => (i === at ? row(i, 1) : r));
/** The last column is the maximum number of literal characters; Infinity if the record is sent whole. */
const changes: [string, (all: Row[]) => unknown[], number][] = [
  ['no row changes', (all) => all, 0],
  ['the first row changes', (all) => withChangedRow(all, 0), 9000],
  ['a row in the middle changes', (all) => withChangedRow(all, ROW_COUNT / 2), 9000],
  ['the last row changes', (all) => withChangedRow(all, ROW_COUNT - 1), 9000],
  ['a row is inserted at the start', (all) => [row(-1), ...all], 9000],
  ['a row is removed', (all) => all.filter((_, i) => i !== 77), 9000],
  ['a row is removed and another is appended', (all) => [...all.filter((_, i) => i !== 9), row(ROW_COUNT)], 18_000],
  ['the halves are swapped', (all) => [...all.slice(ROW_COUNT / 2), ...all.slice(0, ROW_COUNT / 2)], 18_000],
  ['the content is doubled', (all) => [...all, ...all], 9000],
  ['characters outside the basic multilingual plane are added', (all) => [...all, '😀'.repeat(700), '\ud83d'], 18_000],
  ['every row changes', (all) => all.map((_, i) => row(i, 2)), Infinity],
  ['the record becomes short', (all) => all.slice(0, 10), Infinity],
];

describe('DocDeltas', () => {
  for (const [name, change, maxLiteral] of changes)
    it(`reproduce the new version exactly, or leave it to be sent whole, when ${name}`, () => {
      const mine = DocDeltas.make(),
        theirs = DocDeltas.make();
      const old = copy(doc(1, rows(ROW_COUNT))),
        now = copy(doc(2, change(rows(ROW_COUNT))));
      const part = theirs.diff(now, mine.chunkDigests(old)!);
      if (maxLiteral === Infinity) {
        expect(part).to.equal(null);
        return;
      }
      const literalChars = part!.pieces.reduce((n, p) => n + (typeof p === 'string' ? p.length : 0), 0);
      expect(literalChars).to.be.at.most(maxLiteral);
      expect(JSON.stringify(part).length).to.be.at.most(maxLiteral + 3000);
      const made = mine.apply(old, copy(part!));
      expect(JSON.stringify(made)).to.equal(JSON.stringify(now));
    });
  const good = (): { old: Doc; now: Doc; part: DocDelta } => {
    const old = doc(1, rows(ROW_COUNT)),
      now = doc(2, withChangedRow(rows(ROW_COUNT), 2222));
    const deltas = DocDeltas.make();
    return { old, now, part: deltas.diff(now, deltas.chunkDigests(old)!)! };
  };
  const corruptions: [string, (p: DocDelta, old: Doc) => DocDelta][] = [
    ['a run is missing', (p) => ({ ...p, pieces: p.pieces.slice(1) })],
    ['the literal text is missing', (p) => ({ ...p, pieces: p.pieces.filter((x) => typeof x !== 'string') })],
    [
      'a run begins one chunk late',
      (p) => ({ ...p, pieces: p.pieces.map((x) => (typeof x === 'string' ? x : [x[0] + 1, x[1]])) }),
    ],
    ['a run is outside the version held', (p) => ({ ...p, pieces: [...p.pieces.slice(0, -1), [9_999_999, 5]] })],
    ['the pieces are in another order', (p) => ({ ...p, pieces: [...p.pieces].reverse() })],
    [
      'a literal character is altered',
      (p) => ({ ...p, pieces: p.pieces.map((x) => (typeof x === 'string' ? x.replace('1', '2') : x)) }),
    ],
    ['the digest is of another text', (p) => ({ ...p, sum: `${p.sum.slice(1)}0` })],
    ['the digest is of another version', (p) => ({ ...p, mark: [1, 9] })],
    ['there are no pieces', (p) => ({ ...p, pieces: [] })],
  ];
  for (const [name, corrupt] of corruptions)
    it(`are not applied when ${name}`, () => {
      const { old, part } = good();
      expect(DocDeltas.make().apply(old, corrupt(part, old))).to.equal(null);
    });
  it('are not applied to another version than the one they were computed against', () => {
    const { part } = good();
    expect(DocDeltas.make().apply(doc(1, rows(ROW_COUNT).slice(300)), part)).to.equal(null);
    expect(DocDeltas.make().apply(doc(1, rows(3)), part)).to.equal(null);
  });
  it('split a version that a delta was applied to as if it had been received whole', () => {
    const deltas = DocDeltas.make();
    let old = doc(1, rows(ROW_COUNT));
    for (let i = 2; i < 20; i++) {
      const now = doc(i, withChangedRow(rows(ROW_COUNT + i), i * 241));
      old = deltas.apply(old, DocDeltas.make().diff(now, deltas.chunkDigests(old)!)!)!;
      expect(deltas.chunkDigests(old)).to.equal(DocDeltas.make().chunkDigests(now));
    }
  });
  it('split each version only once', () => {
    const deltas = DocDeltas.make(),
      old = doc(1, rows(ROW_COUNT));
    const before = deltas.chunkDigests(old);
    (old.body as { rows: Row[] }).rows.length = 0;
    expect(deltas.chunkDigests(old)).to.equal(before);
  });
});

const ident = (id: string): Ident => ({ id, born: 'b', addr: `${id}:1`, site: 's', role: 'counter' });
type MessageHandler = (m: Message) => Promise<unknown>;
/** Two daemons connected to each other; `corrupt` may change or drop (undefined) the n-th reply. */
const pair = (mine: Doc | null, theirs: Doc | null) => {
  const handlers = new Map<string, MessageHandler>();
  const exchanges: { mail: Message; back: unknown }[] = [];
  let corrupt: (reply: unknown, n: number) => unknown = (reply) => reply;
  const makeDaemon = (id: string, held: Doc | null) => {
    const world = {
      wire: {
        onMessage: (fn: MessageHandler) => void handlers.set(`${id}:1`, fn),
        ask: async (to: string, mail: Message) => {
          const sent = copy(mail);
          const back = corrupt(copy(await handlers.get(to)!(sent)), exchanges.length);
          exchanges.push({ mail: sent, back });
          return back === undefined ? Err('lost') : Ok(back);
        },
      },
      log: Logs.silent,
    } as unknown as World;
    const recordStore = InMemoryRecordStore.make(() => true);
    if (held) recordStore.offer(held);
    return {
      recordStore,
      puller: DocPuller.make(
        Messaging.make(world, () => ident(id)),
        recordStore,
        400,
      ),
    };
  };
  const me = makeDaemon('me', mine),
    you = makeDaemon('you', theirs);
  return {
    ...{ me, you, exchanges, handlers },
    pull: () => me.puller.pull('you:1', 'you', 'list'),
    corruptReplies: (fn: typeof corrupt) => (corrupt = fn),
  };
};
const before = (): Doc => doc(1, rows(ROW_COUNT));
const after = (): Doc => doc(2, withChangedRow(rows(ROW_COUNT), 100));
/** A daemon of a release without deltas: its schema of pulls, and its checks at a given protocol version. */
const withoutDeltas = (version: number, held: Doc): MessageHandler => {
  const schema = Type.Object({ name: Type.String() }, { additionalProperties: false });
  return (m) => {
    const body = SchemaCheck.parse(schema, m.v > version ? SchemaCheck.withoutUnknownKeys(schema, m.body) : m.body);
    return Promise.resolve(body.ok ? { doc: body.val.name === held.name ? held : null } : null);
  };
};
/** The keys of each request. */
const requestKeys = (p: ReturnType<typeof pair>): string[] =>
  p.exchanges.map(({ mail }) => Object.keys(mail.body as object).join(' '));

describe('DocPuller', () => {
  it('pulls only a delta of a long record', async () => {
    const p = pair(before(), after());
    expect(await p.pull()).to.deep.equal(after());
    expect(requestKeys(p)).to.deep.equal(['name held']);
    expect(JSON.stringify(p.exchanges[0]).length).to.be.below(size(after()) / 10);
    expect(p.me.puller.counters()).to.deep.equal({ parts: 1, again: 0 });
  });
  const plain: [string, Doc | null, Doc | null][] = [
    ['a record that is not held', null, after()],
    ['a short record', doc(1, rows(100)), doc(2, rows(101))],
    ['a record that was short', doc(1, rows(100)), after()],
    ['a record that the other daemon does not hold', null, null],
  ];
  for (const [name, mine, theirs] of plain)
    it(`pulls ${name} without naming chunks`, async () => {
      const p = pair(mine, theirs);
      expect(await p.pull()).to.deep.equal(theirs);
      expect(requestKeys(p)).to.deep.equal(['name']);
      expect(p.exchanges[0]!.back).to.deep.equal({ doc: theirs });
    });
  const whole: [string, Doc | null][] = [
    [
      'every row differs',
      doc(
        2,
        rows(ROW_COUNT).map((_, i) => row(i, 3)),
      ),
    ],
    ['the record becomes short', doc(2, rows(10))],
    ['the other daemon holds none', null],
  ];
  for (const [name, theirs] of whole)
    it(`receives the whole in reply to the first request when ${name}`, async () => {
      const p = pair(before(), theirs);
      expect(await p.pull()).to.deep.equal(theirs);
      expect(p.exchanges.map((m) => m.back)).to.deep.equal([{ doc: theirs }]);
    });
  it('pulls the whole from a daemon of the previous release', async () => {
    const p = pair(before(), null);
    p.handlers.set('you:1', withoutDeltas(4, after()));
    expect(await p.pull()).to.deep.equal(after());
    expect(requestKeys(p)).to.deep.equal(['name held']);
  });
  it('repeats a refused request without the chunk digests', async () => {
    const p = pair(before(), null);
    p.handlers.set('you:1', withoutDeltas(5, after()));
    expect(await p.pull()).to.deep.equal(after());
    expect(requestKeys(p)).to.deep.equal(['name held', 'name']);
  });
  it('sends the whole to a daemon of the previous release', async () => {
    const p = pair(null, after());
    const mail: Message = { v: 4, to: 'you', from: ident('old'), kind: 'purge.pull', body: { name: 'list' } };
    expect(await p.handlers.get('you:1')!(mail)).to.deep.equal({ doc: after() });
  });
  type PullReply = { doc: Doc | null; part?: DocDelta };
  const invalidReplies: [string, (b: PullReply) => unknown][] = [
    ['a run is missing in the delta', (b) => ({ ...b, part: { ...b.part!, pieces: b.part!.pieces.slice(1) } })],
    ['the digest of the delta is wrong', (b) => ({ ...b, part: { ...b.part!, sum: 'x' } })],
    ['the delta does not match its schema', (b) => ({ ...b, part: { pieces: 'none' } })],
  ];
  for (const [name, corrupt] of invalidReplies)
    it(`requests the whole once when ${name}`, async () => {
      const p = pair(before(), after());
      p.corruptReplies((b, n) => (n === 0 ? corrupt(b as PullReply) : b));
      expect(await p.pull()).to.deep.equal(after());
      expect(requestKeys(p)).to.deep.equal(['name held', 'name']);
      expect(p.me.puller.counters()).to.deep.equal({ parts: 0, again: 1 });
      expect(p.me.recordStore.stamp('list')).to.deep.equal([1, 1]);
    });
  it('does not repeat a request whose reply is lost, since another daemon can be asked', async () => {
    const p = pair(before(), after());
    p.corruptReplies(() => undefined);
    expect(await p.pull()).to.equal(null);
    expect(p.exchanges).to.have.length(1);
  });
});
