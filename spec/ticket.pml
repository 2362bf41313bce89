/* Orders run at most once (docs/design.md, section 5). The model has one ticket,
   copies of one order that a caller sends through several entry instances, the
   instance that issued the ticket with its ledger (the issuer), and the instance
   that sends requests to the backend server (the home). Messages may be delayed
   for ever and overtake one another, links are lost at any time, the home pauses
   at any point (it just takes no step) or is restarted, and the issuer crashes or
   seals its ledger.

   Checked: the order runs at most once, and an answer notRun is never given to
   a request that ran or runs later. A caller that got such an answer may try
   again with a higher try number; the answer then stays true of the lower ones,
   also when a copy of it arrives late.

   Each of these defines makes a variant that the checker must refute:
   NO_MARK         Resolve answers notRun without barring the attempt
   SPLIT           the home checks for a bar and starts the attempt in two steps
   NO_INCARNATION  a restarted home answers for its earlier incarnation
   RERUN_UNKNOWN   an unknown outcome may run again
   NO_TRY          a delayed copy may run after an answer notRun
   LATE_CLOSE      the ledger is sealed while it still starts requests
   EARLY_REFUSAL   an entry instance says notRun without asking the ledger
   NO_BAR          the issuer's refusal of an unused ticket is not recorded */

/* Two copies and two attempts suffice to refute every variant. With three of each
   the check takes longer than seconds. */
#define COPIES 2
#define ATTEMPTS 2

/* States of a record, of a run and of an attempt. */
#define NONE 0
#define RUNNING 1
#define RAN 2
#define NOTRUN 3
#define UNKNOWN 4

/* The caller: denied is the highest try that was answered notRun, and executedTry
   is the try of the last execution. */
byte denied = 0;
byte executions = 0;
byte executedTry = 0;

/* The issuer. */
bool alive = true;
bool closed = false;
bool sealed = false;
byte record = NONE;
byte recordTry = 0;
byte barredTry = 0;	/* the highest try refused while there was no record */
byte runs = 0;
byte outcomeOf[COPIES];	/* by run */
byte doubtful = ATTEMPTS;	/* the attempt behind an unknown outcome */
byte sealedRecord = NONE;

/* Attempts in the network and at the home. */
byte attempts = 0;
byte tryOf[ATTEMPTS];
byte sentTo[ATTEMPTS];	/* incarnation */
bool inTransit[ATTEMPTS];
byte replied[ATTEMPTS];

/* The home. */
byte home = 1;	/* incarnation */
byte begun[ATTEMPTS];	/* NONE, RUNNING or the outcome */
bool barred[ATTEMPTS];

inline deny(t) {
	assert(executions == 0 || executedTry > t);
	if
	:: t > denied -> denied = t
	:: else
	fi
}

/* One copy of the order on its way through an entry instance. */
proctype Copy() {
	byte t, turn, a, got, n;
	bool fresh = false;
	atomic { t = denied + 1 }
	if
	/* The instance refuses the copy before the ledger, for instance because
	   its key was withdrawn, and ends the request. */
#ifdef EARLY_REFUSAL
	:: atomic { deny(t); goto end }
#else
	:: atomic { alive ->	/* the issuer itself */
		if
		:: record == NONE || record == NOTRUN ->
#ifndef NO_BAR
			if
			:: record == NONE && t > barredTry -> barredTry = t
			:: record != NONE && t > recordTry -> recordTry = t
			:: else
			fi;
#endif
			deny(t)
		:: else	/* unknown, with the reason of the refusal */
		fi;
		goto end }
#endif
	:: atomic { alive ->
		if
		:: record == NONE && t <= barredTry -> deny(t); goto end
		:: record == RUNNING -> turn = runs - 1
		:: record == RAN -> goto end
		:: record == UNKNOWN ->
#ifdef RERUN_UNKNOWN
			fresh = true
#else
			goto settle
#endif
		:: record == NOTRUN && t <= recordTry ->
#ifdef NO_TRY
			fresh = true
#else
			deny(t); goto end
#endif
		:: else ->
			if
			:: closed -> deny(t); goto end
			:: else -> fresh = true
			fi
		fi;
		if
		:: t > recordTry -> recordTry = t
		:: else
		fi;
		if
		:: fresh -> record = RUNNING; turn = runs; runs++
		:: else
		fi }
	:: atomic { sealed ->
		if
		:: sealedRecord == NONE || sealedRecord == NOTRUN -> deny(t)
		:: else
		fi;
		goto end }
	:: !alive -> goto end	/* unknown: issuerGone */
	fi;
	if
	:: fresh -> goto start
	:: else
	fi;
	/* Waits for the run of another copy. */
	if
	:: atomic { outcomeOf[turn] == NOTRUN && alive -> deny(t) }
	:: outcomeOf[turn] == RAN || outcomeOf[turn] == UNKNOWN
	:: !alive
	fi;
	goto end;

start:	/* Dispatches an attempt to the home, whose incarnation may be outdated. */
	atomic {
		if
		:: !alive -> goto end
		:: alive && attempts == ATTEMPTS -> got = NOTRUN; goto finish
		:: alive && attempts < ATTEMPTS ->
			a = attempts; attempts++;
			tryOf[a] = t; sentTo[a] = home; inTransit[a] = true
		fi
	};
	if
	:: atomic { alive && replied[a] != NONE -> got = replied[a] }
	:: alive -> got = UNKNOWN	/* the link is lost */
	:: !alive -> goto end
	fi;
	if
	:: got == UNKNOWN -> goto resolve
	:: got == NOTRUN -> n++;
		if
		:: n < 2 -> goto start	/* the issuer tries another server */
		:: true
		fi
	:: else
	fi;
	goto finish;

resolve:
	atomic {
		if
		:: !alive -> goto end
		:: alive -> got = UNKNOWN	/* no answer */
		:: alive ->
			if
#ifdef NO_INCARNATION
			:: false
#else
			:: sentTo[a] != home -> got = UNKNOWN
#endif
			:: else ->
				if
				:: begun[a] == RUNNING -> got = UNKNOWN
				:: begun[a] != NONE && begun[a] != RUNNING -> got = begun[a]
				:: begun[a] == NONE ->
#ifndef NO_MARK
					barred[a] = true;
#endif
					got = NOTRUN
				fi
			fi
		fi
	};
	if
	:: fresh -> skip
	:: else -> goto amend
	fi;

finish:
	atomic {
		if
		:: !alive -> goto end
		:: else
		fi;
		record = got; outcomeOf[turn] = got;
		if
		:: got == NOTRUN -> deny(t)
		:: got == UNKNOWN -> doubtful = a
		:: else
		fi
	};
	goto end;

settle:	/* Asks the home once more about an unknown outcome. */
	a = doubtful;
	if
	:: a < ATTEMPTS -> goto resolve
	:: else -> goto end
	fi;

amend:
	atomic {
		if
		/* The reply concerns only the run of its attempt. */
		:: alive && record == UNKNOWN && doubtful == a && got != UNKNOWN -> record = got
		:: else
		fi;
		if
		:: alive && record == NOTRUN -> 
			if
			:: t > recordTry -> recordTry = t
			:: else
			fi;
			deny(t)
		:: else
		fi
	};
end:	skip
}

/* One worker of the home. It belongs to the incarnation that took the message. */
proctype Worker() {
	byte a, mine;
	do
	:: atomic { inTransit[0] -> a = 0; inTransit[0] = false; mine = home } goto check
	:: atomic { inTransit[1] -> a = 1; inTransit[1] = false; mine = home } goto check
	:: (!inTransit[0] && !inTransit[1]) -> break
	od;
	goto done;

check:
#ifdef SPLIT
	if
	:: sentTo[a] != mine || barred[a] -> replied[a] = NOTRUN; goto done
	:: else
	fi;
	atomic {
		if
		:: mine != home -> goto done
		:: else -> begun[a] = RUNNING
		fi
	};
#else
	atomic {
		if
		:: mine != home -> goto done
#ifndef NO_INCARNATION
		:: mine == home && sentTo[a] != mine -> replied[a] = NOTRUN; goto done
#endif
		:: mine == home && barred[a] -> replied[a] = NOTRUN; goto done
		:: else -> begun[a] = RUNNING
		fi
	};
#endif
	if
	:: atomic { mine == home -> begun[a] = NOTRUN; replied[a] = NOTRUN }	/* shed or no connection */
	:: atomic { mine == home -> executions++; executedTry = tryOf[a]; assert(executions <= 1); assert(tryOf[a] > denied) }
		if
		:: atomic { mine == home -> begun[a] = RAN; replied[a] = RAN }
		:: atomic { mine == home -> begun[a] = UNKNOWN; replied[a] = UNKNOWN }	/* the answer is lost */
		:: mine != home
		fi
	:: mine != home
	fi;
done:	skip
}

/* One restart of the home, which forgets everything. */
proctype Restart() {
	byte i;
	d_step {
		home++;
		i = 0;
		do
		:: i < ATTEMPTS -> begun[i] = NONE; barred[i] = false; i++
		:: else -> break
		od
	}
}

/* The end of the issuer: a planned stop, or a crash at any point of it. */
proctype Stop() {
	if
	:: true ->
#ifndef LATE_CLOSE
		closed = true;
#endif
		atomic {
			/* A run that does not end in time is sealed as unknown. */
			sealedRecord = record;
			sealed = true
		};
		closed = true
	:: true
	fi;
	alive = false
}

init {
	atomic {
		run Copy(); run Copy();
		run Worker(); run Worker();
		run Restart(); run Stop()
	}
}
