import { expect } from 'chai';
import { Type } from 'typebox';
import type { Ident } from './ident.js';
import { Logs } from './logs.js';
import type { Message } from './message.js';
import { Ok } from './ok.js';
import { Messaging } from './messaging.js';
import type { World } from './world.js';

const me: Ident = { id: 'me', born: 'b', addr: '127.0.0.1:1', site: 's', role: 'counter' };
const schema = Type.Object({ n: Type.Integer() }, { additionalProperties: false });
const cases: [string, Partial<Message>, unknown][] = [
  ['a message for this daemon', {}, { n: 2 }],
  ['a message for whichever daemon has the address', { to: '' }, { n: 2 }],
  ['a message for another daemon', { to: 'other' }, null],
  ['a message of an unknown kind', { kind: 'other' }, null],
  ['a message that does not match its schema', { body: { n: 'x' } }, null],
  ['a message with an unknown key', { body: { n: 1, more: 1 } }, null],
  ['a message of the next protocol version with an unknown key', { v: 6, body: { n: 1, more: 1 } }, { n: 2 }],
  ['a message of the next protocol version that does not match its schema', { v: 6, body: { n: 'x' } }, null],
  ['a message of a protocol version too new', { v: 7 }, null],
  ['a message of the previous protocol version', { v: 4 }, { n: 2 }],
  ['a message of a protocol version too old', { v: 3 }, null],
];

describe('Messaging', () => {
  for (const [name, change, want] of cases) {
    it(`${want === null ? 'refuses' : 'accepts'} ${name}`, async () => {
      let deliver: (m: Message) => Promise<unknown> = () => Promise.resolve(null);
      const world = {
        wire: {
          onMessage: (fn: typeof deliver) => {
            deliver = fn;
          },
          ask: () => Promise.resolve(Ok(null)),
        },
        log: Logs.silent,
      } as unknown as World;
      Messaging.make(world, () => me).on('add', schema, (b) => ({ n: b.n + 1 }));
      const reply = await deliver({
        v: 5,
        to: 'me',
        from: { ...me, id: 'you' },
        kind: 'add',
        body: { n: 1 },
        ...change,
      });
      expect(reply).to.deep.equal(want);
    });
  }
  it('sends no reply to a one-way message, but refuses an invalid one', async () => {
    let deliver: (m: Message) => Promise<unknown> = () => Promise.resolve(null);
    const world = {
      wire: {
        onMessage: (fn: typeof deliver) => {
          deliver = fn;
        },
      },
      log: Logs.silent,
    } as unknown as World;
    const received: number[] = [];
    Messaging.make(world, () => me).onTell('news', schema, (b) => void received.push(b.n));
    const message: Message = { v: 4, to: 'me', from: { ...me, id: 'you' }, kind: 'news', body: { n: 1 } };
    expect(await deliver(message)).to.equal(undefined);
    expect(await deliver({ ...message, body: {} })).to.equal(null);
    expect(received).to.deep.equal([1]);
  });
});
