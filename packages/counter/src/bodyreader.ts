import { Err, Ok, type Result } from '@pumicebarrow/forms';

type Body = AsyncIterable<Buffer> & { destroy(): unknown };

/** Reads a response body as JSON. Invariant: never buffers more than `maxBytes`, whatever is sent. */
export const BodyReader = {
  async json(body: Body, maxBytes: number): Promise<Result<unknown, 'large' | 'json'>> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of body) {
      size += chunk.length;
      if (size > maxBytes) {
        body.destroy();
        return Err('large');
      }
      chunks.push(chunk);
    }
    try {
      return Ok(JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
    } catch {
      return Err('json');
    }
  },
};
