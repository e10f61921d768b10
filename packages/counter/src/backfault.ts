/** Why a server did not do as asked. `ran: 'no'` only on proof. `dark`: it did not reply at all. */
export type BackFault = {
  ran: 'no' | 'maybe';
  code: 'unreached' | 'busy' | 'wrongpart' | 'lapsed' | 'broken' | 'old' | 'late' | 'bad';
  dark: boolean;
  why: string;
};
