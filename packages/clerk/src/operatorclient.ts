import { request as httpRequest } from 'undici';

type Reply = { status: number; body: Record<string, unknown> | null };

/**
 * HTTP client of the operator API. A POST is tried at the next address only if the connection to the previous one was
 * never made, so that no daemon can have received it twice. A GET is tried at each address in order.
 */
export const OperatorClient = {
  async request(
    addresses: readonly string[],
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Reply & { from: string }> {
    let failure = 'no address was given';
    for (const addr of addresses) {
      try {
        const response = await httpRequest(`http://${addr}${path}`, {
          method,
          headersTimeout: 15_000,
          bodyTimeout: 15_000,
          ...(body === undefined
            ? {}
            : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        const responseBody = (await response.body.json().catch(() => null)) as Record<string, unknown> | null;
        return { status: response.statusCode, body: responseBody, from: addr };
      } catch (e) {
        const code = (e as { code?: string }).code ?? String(e);
        failure = `${addr}: ${code}`;
        if (method === 'POST' && !['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(code)) {
          return {
            status: 0,
            body: {
              verdict: {
                ran: 'maybe',
                code: 'torn',
                why: `${failure}. The daemon may have applied it; query the plan.`,
              },
            },
            from: addr,
          };
        }
      }
    }
    return { status: 0, body: { verdict: { ran: 'no', code: 'unreached', why: failure } }, from: '' };
  },
};
