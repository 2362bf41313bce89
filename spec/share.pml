/*
 * Hand-over of a share between a holder that may be paused and a reclaimer,
 * through the conditional updates of the store (docs/design.md, section 7).
 *
 * The holder uses its part while its term, counted from before its renewal was
 * sent, has not ended on its clock. The reclaimer waits for the term and a
 * margin since it first saw the counter, then fences the term by a conditional
 * update, and then takes the part out of the record. Answers to writes may be
 * lost, and a renewal may take effect late.
 *
 * Time is discrete. A tick happens at any moment, so each process may pause for
 * any time between two of its steps.
 *
 * NO_SECOND_CHECK: the holder uses its part after a pause without checking the
 * clock again. NO_WAIT: the reclaimer fences a term at once. Both must be refuted.
 */
#define TERM   3
#define MARGIN 1
#define END    10
#define WHOLE  2
#define PART   1

byte now;

/* The store. */
byte termCounter = 0;
byte termVersion = 1;
bool fenced;
byte recordHolder = PART;      /* part of the holder in the record */
byte recordReclaimer = PART;   /* part of the reclaimer in the record */
byte recordVersion = 1;

/* A delayed renewal that may still take effect. */
bool late;
byte lateCounter, lateVersion;

/* The parts that the holder and the reclaimer use at this moment. Every use of the
 * holder ends within the step in which its clock check was made, except in the
 * variant without a second check. */
byte usedByHolder;
byte usedByReclaimer = PART;

/* Renews the term in the store and sets ok if the holder knows that the renewal
 * took effect. It uses the local variables of Holder. */
inline renewTerm(ok)
{
	ok = false;
	atomic {
		sent = now;
		counter++;
	}
	if
	:: atomic { !fenced && termVersion == version ->
		termVersion++; termCounter = counter }
	   if
	   :: version = version + 1; ok = true     /* answered */
	   :: skip                                 /* answer lost: read back */
	      atomic {
		if
		:: fenced -> lost = true
		:: !fenced && termCounter == counter -> version = termVersion; ok = true
		:: else -> version = termVersion
		fi
	      }
	   fi
	:: atomic { !late -> late = true; lateCounter = counter; lateVersion = version }
	   /* no answer, and the write may take effect later */
	:: atomic { termVersion != version || fenced ->
		if
		:: fenced -> lost = true
		:: !fenced && termCounter == counter -> version = termVersion; ok = true
		:: else -> version = termVersion
		fi }
	fi
}

proctype Holder()
{
	byte version = 1, counter = 0, sent = 0, until = 0;
	bool confirmed, lost;

	do
	:: lost || now >= END -> break
	:: else ->
		if
		:: counter < 3 ->
			renewTerm(confirmed);
			if
			:: confirmed -> until = sent + TERM
			:: else
			fi
		:: true
		fi;
#ifdef NO_SECOND_CHECK
		if
		:: now < until ->
			/* A pause here passes the end of the term. */
			atomic { usedByHolder = PART; assert(usedByHolder + usedByReclaimer <= WHOLE) };
			usedByHolder = 0
		:: else
		fi
#else
		atomic {
			if
			:: now < until ->
				usedByHolder = PART;
				assert(usedByHolder + usedByReclaimer <= WHOLE);
				usedByHolder = 0
			:: else
			fi
		}
#endif
	od
}

proctype Reclaimer()
{
	byte seenCounter, seenVersion, seenAt, version;
	bool taken;

	do
	:: taken || now >= END -> break
	:: else ->
		/* The time is read after the term. */
		atomic {
			if
			:: termCounter != seenCounter || seenVersion == 0 ->
				seenCounter = termCounter; seenVersion = termVersion; seenAt = now
			:: else
			fi
		};
#ifdef NO_WAIT
		if
		:: true ->
#else
		if
		:: now >= seenAt + TERM + MARGIN ->
#endif
			if
			:: atomic { termVersion == seenVersion && !fenced -> fenced = true; termVersion++ }
			:: atomic { termVersion != seenVersion || fenced -> skip }
			fi;
			if
			:: fenced ->
				/* The record is changed only after the fence. A lost answer
				   is read back. */
				version = recordVersion;
				if
				:: atomic { recordVersion == version -> recordVersion++;
					recordHolder = 0; recordReclaimer = WHOLE }
				:: skip
				fi;
				atomic {
					if
					:: recordReclaimer == WHOLE -> usedByReclaimer = WHOLE; taken = true
					:: else
					fi
				};
				assert(recordHolder + recordReclaimer <= WHOLE)
			:: else
			fi
		:: else
		fi
	od
}

proctype Network()
{
	do
	:: now >= END -> break
	:: atomic { late ->
		if
		:: !fenced && termVersion == lateVersion -> termVersion++; termCounter = lateCounter
		:: else
		fi;
		late = false }
	od
}

proctype Clock()
{
	do
	:: now < END -> now++
	:: now >= END -> break
	od
}

init
{
	atomic { run Holder(); run Reclaimer(); run Network(); run Clock() }
}
