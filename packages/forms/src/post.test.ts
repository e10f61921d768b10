import { expect } from 'chai';
import { Type } from 'typebox';
import type { Ident } from './ident.js';
import { Logs } from './logs.js';
import type { Mail } from './mail.js';
import { Ok } from './ok.js';
import { Post } from './post.js';
import type { World } from './world.js';

const me: Ident = { id: 'me', born: 'b', addr: '127.0.0.1:1', site: 's', role: 'counter' };
const form = Type.Object({ n: Type.Integer() }, { additionalProperties: false });
const cases: [string, Partial<Mail>, unknown][] = [
  ['mail for this identity', {}, { n: 2 }],
  ['mail for whoever is here', { to: '' }, { n: 2 }],
  ['mail for another identity', { to: 'other' }, null],
  ['mail of an unknown kind', { kind: 'other' }, null],
  ['mail of the wrong shape', { body: { n: 'x' } }, null],
  ['mail with a key not known', { body: { n: 1, more: 1 } }, null],
  ['mail of the next release, with a key not known', { v: 6, body: { n: 1, more: 1 } }, { n: 2 }],
  ['mail of the next release, of the wrong shape', { v: 6, body: { n: 'x' } }, null],
  ['mail of a release too new', { v: 7 }, null],
  ['mail of the release before', { v: 4 }, { n: 2 }],
  ['mail of a release too old', { v: 3 }, null],
];

describe('Post', () => {
  for (const [name, change, want] of cases) {
    it(`${want === null ? 'turns away' : 'takes'} ${name}`, async () => {
      let ear: (m: Mail) => Promise<unknown> = () => Promise.resolve(null);
      const world = {
        wire: {
          hear: (fn: typeof ear) => {
            ear = fn;
          },
          ask: () => Promise.resolve(Ok(null)),
        },
        log: Logs.quiet,
      } as unknown as World;
      Post.make(world, () => me).on('add', form, (b) => ({ n: b.n + 1 }));
      const got = await ear({ v: 5, to: 'me', from: { ...me, id: 'you' }, kind: 'add', body: { n: 1 }, ...change });
      expect(got).to.deep.equal(want);
    });
  }
  it('has no reply to what is told, and turns away what does not fit all the same', async () => {
    let ear: (m: Mail) => Promise<unknown> = () => Promise.resolve(null);
    const world = {
      wire: {
        hear: (fn: typeof ear) => {
          ear = fn;
        },
      },
      log: Logs.quiet,
    } as unknown as World;
    const got: number[] = [];
    Post.make(world, () => me).heed('news', form, (b) => void got.push(b.n));
    const news: Mail = { v: 4, to: 'me', from: { ...me, id: 'you' }, kind: 'news', body: { n: 1 } };
    expect(await ear(news)).to.equal(undefined);
    expect(await ear({ ...news, body: {} })).to.equal(null);
    expect(got).to.deep.equal([1]);
  });
});
