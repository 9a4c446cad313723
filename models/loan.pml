/* The lease protocol between two processes, as in src/shared/lease_manager.h. Invariant: the lender and the borrower
 * never use the same unit, although messages are delayed, lost, duplicated and reordered, both may be stopped for any
 * time, and the lender may restart without any memory of earlier leases.
 *
 * Time is one counter that advances independently of all other steps; a process that takes no step for long models a
 * process that was stopped. Clock rate differences are modelled by SLACK: the borrower's clock may be that far behind at
 * the end of a lease. Both ends keep a guard time. -DNOGUARD removes the guards, -DNOWAIT the wait after a restart, and
 * -DFROMGRANT counts the lease from the arrival of the grant instead of from the request. Each of these must violate the
 * invariant, which tests/models.sh checks.
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
byte lentUntil = 0;      /* the lender does not use the unit before */
byte lendsFrom = 0;      /* after a restart the lender neither uses nor lends before */
byte asked = 0;          /* time of the borrower's last request */
byte number = 0;         /* number of that request; 0: none is pending */
byte usableUntil = 0;    /* end of the lease at the borrower */
byte asks = 0, starts = 0;

chan toLender = [2] of { byte };
chan toBorrower = [2] of { byte };

/* Both check the time at the moment of use. The borrower's clock may be slow by SLACK. */
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
       :: else -> skip      /* late, a duplicate, or for a request that is no longer pending */
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
  :: atomic { nempty(toLender) && nfull(toLender) -> toLender?<which>; toLender!which }   /* duplicated */
  :: atomic { starts < 1 && now < END ->                     /* restarts without memory */
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

/* The invariant: at no moment do both use the unit. */
ltl once { [] !(lenderUses && borrowerUses) }
