import { Check, Doc, type PostBox } from '@pumicebarrow/forms';
import { Type } from 'typebox';

const Pulled = Type.Object({ doc: Type.Union([Doc, Type.Null()]) }, { additionalProperties: false });

/** Asking another daemon for its copy of the list. */
export const ListWords = {
  async pull(post: PostBox, addr: string, id: string): Promise<Doc | null> {
    const got = await post.ask(addr, id, 'purge.pull', { name: 'list' }, Pulled, 500);
    return got.ok && got.val.doc && Check.is(Doc, got.val.doc) ? got.val.doc : null;
  },
};
