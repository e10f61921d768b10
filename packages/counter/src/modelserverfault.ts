/**
 * Why a model server did not carry out a request. `ran` is 'no' only if that is proven. `dark`: the server did not
 * reply at all. `why`: the reason in words.
 */
export type ModelServerFault = {
  ran: 'no' | 'maybe';
  code: 'unreached' | 'busy' | 'wrongpart' | 'lapsed' | 'broken' | 'old' | 'late' | 'bad';
  dark: boolean;
  why: string;
};
