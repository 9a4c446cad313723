/* A loan between two, as src/shared/loans has it: who lends and who borrows never use the same unit, though letters are
 * delayed, lost, copied and overtaken, both may stop for any time, and the lender may start anew having forgotten all.
 *
 * Time is one counter that goes on in steps of its own while anything else happens; a process that does nothing for
 * long is one that was stopped. Clocks that differ in speed are a slack: the borrower's may be SLACK behind by the end of
 * a loan. The guards are at both ends; -DNOGUARD takes them out, -DNOWAIT the wait after a start, -DFROMGRANT counts the
 * loan from the arrival of the grant. Each of these breaks the property, and the test sees to it that it does.
 */
#define LENGTH 3
#ifdef NOGUARD
#define GUARD 0
#else
#define GUARD 1
#endif
#define SLACK 1
#define END 12

byte now = 0;
byte lentUntil = 0;      /* the lender counts it as gone before then */
byte lendsFrom = 0;      /* after a start: uses and lends nothing before */
byte asked = 0;          /* when the borrower asked last */
byte number = 0;         /* and the number of that ask; 0: none is open */
byte usableUntil = 0;    /* the borrower's end of it */
byte asks = 0, starts = 0;

chan toLender = [2] of { byte };
chan toBorrower = [2] of { byte };

/* Both look at their ends at the moment of use. The borrower's clock may be slow by SLACK. */
#define lenderUses (now >= lentUntil && now >= lendsFrom)
#define borrowerUses (now < usableUntil + SLACK && usableUntil > 0)

active proctype time() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype borrower() {
  byte which;
  do
  :: now < END && asks < 2 && nfull(toLender) -> atomic { asks++; number = asks; asked = now; toLender!asks }
  :: atomic { toBorrower?which ->
       if
       :: which == number && number > 0 ->
          number = 0;
#ifdef FROMGRANT
          usableUntil = now + LENGTH - GUARD
#else
          usableUntil = asked + LENGTH - GUARD
#endif
       :: else -> skip      /* late, a copy, or of an ask that is no longer open */
       fi }
  :: now == END -> break
  od
}

active proctype lender() {
  byte which;
  do
  :: atomic { toLender?which ->
       if
       :: now >= lendsFrom && nfull(toBorrower) -> lentUntil = now + LENGTH + GUARD; toBorrower!which
       :: else -> skip
       fi }
  :: atomic { toLender?which -> skip }                       /* lost */
  :: atomic { toBorrower?which -> skip }
  :: atomic { nempty(toLender) && nfull(toLender) -> toLender?<which>; toLender!which }   /* copied */
  :: atomic { starts < 1 && now < END ->                     /* it dies and starts anew, and has forgotten */
       starts++; lentUntil = 0;
#ifdef NOWAIT
       lendsFrom = now
#else
       lendsFrom = now + LENGTH + 2 * GUARD
#endif
     }
  :: now == END -> break
  od
}

/* What the model is for: at no moment do both use it. */
ltl once { [] !(lenderUses && borrowerUses) }
