import { Err, Ok, type Result } from '@pumicebarrow/forms';

type Body = AsyncIterable<Buffer> & { destroy(): unknown };

/** Reads a reply's body as JSON. Invariant: no more than `most` bytes are ever held, whatever the other side sends. */
export const BodyReader = {
  async json(body: Body, most: number): Promise<Result<unknown, 'large' | 'json'>> {
    const bits: Buffer[] = [];
    let size = 0;
    for await (const bit of body) {
      size += bit.length;
      if (size > most) {
        body.destroy();
        return Err('large');
      }
      bits.push(bit);
    }
    try {
      return Ok(JSON.parse(Buffer.concat(bits).toString('utf8')) as unknown);
    } catch {
      return Err('json');
    }
  },
};
