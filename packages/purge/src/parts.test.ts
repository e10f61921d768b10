import { Check, Err, Logs, Ok, Post, type Doc, type Ident, type Mail, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Type } from 'typebox';
import type { DocPart } from './docpart.js';
import { DocParts } from './docparts.js';
import { DocPuller } from './pulling.js';
import { Shelf } from './shelf.js';

type Row = [string, number, string];
const row = (i: number, life = 0): Row => [`server-${i * 7919}-${life}`, i % 8, `10.2.${i % 250}.${i % 7}:8080`];
const rows = (n: number): Row[] => Array.from({ length: n }, (_, i) => row(i));
const MANY = 5000;
const doc = (step: number, all: readonly unknown[]): Doc => ({ name: 'list', mark: [1, step], body: { rows: all } });
const size = (d: Doc): number => JSON.stringify(d.body).length;
const copy = <T>(v: T): T => JSON.parse(JSON.stringify(v)) as T;

const changed = (all: Row[], at: number): Row[] => all.map((r, i) => (i === at ? row(i, 1) : r));
/** Characters told beside what is held; Infinity where it goes whole. */
const changes: [string, (all: Row[]) => unknown[], number][] = [
  ['nothing is changed', (all) => all, 0],
  ['the first row is changed', (all) => changed(all, 0), 9000],
  ['a row in the middle is changed', (all) => changed(all, MANY / 2), 9000],
  ['the last row is changed', (all) => changed(all, MANY - 1), 9000],
  ['a row is put before all others', (all) => [row(-1), ...all], 9000],
  ['a row is gone', (all) => all.filter((_, i) => i !== 77), 9000],
  ['one row goes and another comes elsewhere', (all) => [...all.filter((_, i) => i !== 9), row(MANY)], 18_000],
  ['halves change places', (all) => [...all.slice(MANY / 2), ...all.slice(0, MANY / 2)], 18_000],
  ['it is twice as long', (all) => [...all, ...all], 9000],
  ['characters beyond the first plane come in', (all) => [...all, '😀'.repeat(700), '\ud83d'], 18_000],
  ['each row is changed', (all) => all.map((_, i) => row(i, 2)), Infinity],
  ['it is short now', (all) => all.slice(0, 10), Infinity],
];

describe('A long doc by parts', () => {
  for (const [name, change, most] of changes)
    it(`is laid together word for word where ${name}`, () => {
      const mine = DocParts.make(),
        theirs = DocParts.make();
      const old = copy(doc(1, rows(MANY))),
        now = copy(doc(2, change(rows(MANY))));
      const part = theirs.part(now, mine.held(old)!);
      if (most === Infinity) {
        expect(part).to.equal(null);
        return;
      }
      const told = part!.pieces.reduce((n, p) => n + (typeof p === 'string' ? p.length : 0), 0);
      expect(told).to.be.at.most(most);
      expect(JSON.stringify(part).length).to.be.at.most(most + 3000);
      const made = mine.lay(old, copy(part!));
      expect(JSON.stringify(made)).to.equal(JSON.stringify(now));
    });
  const good = (): { old: Doc; now: Doc; part: DocPart } => {
    const old = doc(1, rows(MANY)),
      now = doc(2, changed(rows(MANY), 2222));
    const parts = DocParts.make();
    return { old, now, part: parts.part(now, parts.held(old)!)! };
  };
  const wrong: [string, (p: DocPart, old: Doc) => DocPart][] = [
    ['a run is lost', (p) => ({ ...p, pieces: p.pieces.slice(1) })],
    ['the text is lost', (p) => ({ ...p, pieces: p.pieces.filter((x) => typeof x !== 'string') })],
    [
      'a run begins one off',
      (p) => ({ ...p, pieces: p.pieces.map((x) => (typeof x === 'string' ? x : [x[0] + 1, x[1]])) }),
    ],
    ['a run is beyond what is held', (p) => ({ ...p, pieces: [...p.pieces.slice(0, -1), [9_999_999, 5]] })],
    ['runs change places', (p) => ({ ...p, pieces: [...p.pieces].reverse() })],
    [
      'a character is another',
      (p) => ({ ...p, pieces: p.pieces.map((x) => (typeof x === 'string' ? x.replace('1', '2') : x)) }),
    ],
    ['the digest is of another text', (p) => ({ ...p, sum: `${p.sum.slice(1)}0` })],
    ['the digest is of another version', (p) => ({ ...p, mark: [1, 9] })],
    ['nothing is told', (p) => ({ ...p, pieces: [] })],
  ];
  for (const [name, bend] of wrong)
    it(`is not taken where ${name}`, () => {
      const { old, part } = good();
      expect(DocParts.make().lay(old, bend(part, old))).to.equal(null);
    });
  it('is not taken by who holds another version than was named', () => {
    const { part } = good();
    expect(DocParts.make().lay(doc(1, rows(MANY).slice(300)), part)).to.equal(null);
    expect(DocParts.make().lay(doc(1, rows(3)), part)).to.equal(null);
  });
  it('is cut as if it had come whole, wherever parts were laid together', () => {
    const parts = DocParts.make();
    let old = doc(1, rows(MANY));
    for (let i = 2; i < 20; i++) {
      const now = doc(i, changed(rows(MANY + i), i * 241));
      old = parts.lay(old, DocParts.make().part(now, parts.held(old)!)!)!;
      expect(parts.held(old)).to.equal(DocParts.make().held(now));
    }
  });
  it('is cut once a version', () => {
    const parts = DocParts.make(),
      old = doc(1, rows(MANY));
    const was = parts.held(old);
    (old.body as { rows: Row[] }).rows.length = 0;
    expect(parts.held(old)).to.equal(was);
  });
});

const ident = (id: string): Ident => ({ id, born: 'b', addr: `${id}:1`, site: 's', role: 'counter' });
type Ear = (m: Mail) => Promise<unknown>;
/** Two daemons on one wire; `bend` may change what is answered. */
const pair = (mine: Doc | null, theirs: Doc | null) => {
  const ears = new Map<string, Ear>();
  const mails: { mail: Mail; back: unknown }[] = [];
  let bend: (back: unknown, n: number) => unknown = (b) => b;
  const daemon = (id: string, held: Doc | null) => {
    const world = {
      wire: {
        hear: (fn: Ear) => void ears.set(`${id}:1`, fn),
        ask: async (to: string, mail: Mail) => {
          const sent = copy(mail);
          const back = bend(copy(await ears.get(to)!(sent)), mails.length);
          mails.push({ mail: sent, back });
          return back === undefined ? Err('lost') : Ok(back);
        },
      },
      log: Logs.quiet,
    } as unknown as World;
    const shelf = Shelf.make(() => true);
    if (held) shelf.offer(held);
    return {
      shelf,
      pulling: DocPuller.make(
        Post.make(world, () => ident(id)),
        shelf,
        400,
      ),
    };
  };
  const me = daemon('me', mine),
    you = daemon('you', theirs);
  return {
    ...{ me, you, mails, ears },
    pull: () => me.pulling.pull('you:1', 'you', 'list'),
    bent: (fn: typeof bend) => (bend = fn),
  };
};
const before = (): Doc => doc(1, rows(MANY));
const after = (): Doc => doc(2, changed(rows(MANY), 100));
/** A daemon that knows no parts: the schema, and the checks by voice, of then. */
const aged = (voice: number, held: Doc): Ear => {
  const form = Type.Object({ name: Type.String() }, { additionalProperties: false });
  return (m) => {
    const body = Check.parse(form, m.v > voice ? Check.withoutUnknownKeys(form, m.body) : m.body);
    return Promise.resolve(body.ok ? { doc: body.val.name === held.name ? held : null } : null);
  };
};
const asked = (p: ReturnType<typeof pair>): string[] =>
  p.mails.map(({ mail }) => Object.keys(mail.body as object).join(' '));

describe('A pull', () => {
  it('of a long doc brings only what is beside what is held', async () => {
    const p = pair(before(), after());
    expect(await p.pull()).to.deep.equal(after());
    expect(asked(p)).to.deep.equal(['name held']);
    expect(JSON.stringify(p.mails[0]).length).to.be.below(size(after()) / 10);
    expect(p.me.pulling.counters()).to.deep.equal({ parts: 1, again: 0 });
  });
  const plain: [string, Doc | null, Doc | null][] = [
    ['a doc that is not held', null, after()],
    ['a short doc', doc(1, rows(100)), doc(2, rows(101))],
    ['a doc that was short', doc(1, rows(100)), after()],
    ['a doc that the other has not', null, null],
  ];
  for (const [name, mine, theirs] of plain)
    it(`of ${name} is as it ever was`, async () => {
      const p = pair(mine, theirs);
      expect(await p.pull()).to.deep.equal(theirs);
      expect(asked(p)).to.deep.equal(['name']);
      expect(p.mails[0]!.back).to.deep.equal({ doc: theirs });
    });
  const whole: [string, Doc | null][] = [
    [
      'each row is another',
      doc(
        2,
        rows(MANY).map((_, i) => row(i, 3)),
      ),
    ],
    ['it is short now', doc(2, rows(10))],
    ['the other has none', null],
  ];
  for (const [name, theirs] of whole)
    it(`brings the whole at once where ${name}`, async () => {
      const p = pair(before(), theirs);
      expect(await p.pull()).to.deep.equal(theirs);
      expect(p.mails.map((m) => m.back)).to.deep.equal([{ doc: theirs }]);
    });
  it('from a daemon of the release before brings the whole', async () => {
    const p = pair(before(), null);
    p.ears.set('you:1', aged(4, after()));
    expect(await p.pull()).to.deep.equal(after());
    expect(asked(p)).to.deep.equal(['name held']);
  });
  it('that is turned away for what it names is made again without', async () => {
    const p = pair(before(), null);
    p.ears.set('you:1', aged(5, after()));
    expect(await p.pull()).to.deep.equal(after());
    expect(asked(p)).to.deep.equal(['name held', 'name']);
  });
  it('by a daemon of the release before is answered whole', async () => {
    const p = pair(null, after());
    const mail: Mail = { v: 4, to: 'you', from: ident('old'), kind: 'purge.pull', body: { name: 'list' } };
    expect(await p.ears.get('you:1')!(mail)).to.deep.equal({ doc: after() });
  });
  type Back = { doc: Doc | null; part?: DocPart };
  const spoilt: [string, (b: Back) => unknown][] = [
    ['a range is lost', (b) => ({ ...b, part: { ...b.part!, pieces: b.part!.pieces.slice(1) } })],
    ['the digest is wrong', (b) => ({ ...b, part: { ...b.part!, sum: 'x' } })],
    ['the part has another form', (b) => ({ ...b, part: { pieces: 'none' } })],
  ];
  for (const [name, spoil] of spoilt)
    it(`where ${name} is made again for the whole, once`, async () => {
      const p = pair(before(), after());
      p.bent((b, n) => (n === 0 ? spoil(b as Back) : b));
      expect(await p.pull()).to.deep.equal(after());
      expect(asked(p)).to.deep.equal(['name held', 'name']);
      expect(p.me.pulling.counters()).to.deep.equal({ parts: 0, again: 1 });
      expect(p.me.shelf.mark('list')).to.deep.equal([1, 1]);
    });
  it('whose answer is lost is not made again: the next is asked', async () => {
    const p = pair(before(), after());
    p.bent(() => undefined);
    expect(await p.pull()).to.equal(null);
    expect(p.mails).to.have.length(1);
  });
});
