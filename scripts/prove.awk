# Sums the counts on "figures:" lines of a verbose CTest log by point. Set rc to the exit code of CTest.
BEGIN {
    split("I1 I2 I3 I4 I5 I6 I7 crashing speak", points, " ")
    split("operations faults sent once twice lost not_run_that_ran", columns, " ")
    split("twice lost not_run_that_ran late versions_back answered", wrong, " ")
    # Tests with their points, so that a test that fails before it prints any counts still fails its points.
    split("holds.whole_answer=I2 holds.not_run=I3 holds.at_most_once=I4 holds.leaving=I5 holds.shutdown=I6 " \
          "holds.configuration=I7 process.configuration=I7 process.configuration=speak fuzz.document=I7 " \
          "fuzz.suspect=crashing", pairs, " ")
}

/^ *[0-9]+\/[0-9]+ Test +#[0-9]+: / {
    name = $4
    ++tests
    number = substr($3, 2) + 0
    nameOf[number] = name
    if ($0 ~ /   Passed /) {
        passed[name] = 1
    } else {
        failed[name] = 1
    }
}

# CTest prefixes each output line with the test's number.
/^[0-9]+: figures: / {
    point = ""
    for (i = 3; i <= NF; ++i) {
        split($i, field, "=")
        if (field[1] == "point") {
            point = field[2]
        } else {
            sum[point, field[1]] += field[2]
            has[point, field[1]] = 1
        }
    }
    split($1, parts, ":")
    counted[point, parts[1]] = 1
}

# A point holds if at least one of its tests ran, all of them passed, and all its error counts are zero.
function verdict(point,    i, key, pair, good, bad) {
    for (i in pairs) {
        split(pairs[i], pair, "=")
        if (pair[2] == point) {
            good = good || pair[1] in passed
            bad = bad || pair[1] in failed
        }
    }
    for (key in counted) {
        split(key, pair, SUBSEP)
        if (pair[1] == point) {
            good = good || nameOf[pair[2]] in passed
            bad = bad || !(nameOf[pair[2]] in passed)
        }
    }
    for (i in wrong) {
        bad = bad || sum[point, wrong[i]] > 0
    }
    status = status || bad
    return bad ? "FAILED" : good ? "held" : "not tested"
}

END {
    printf "%-9s %11s %7s %9s %9s %9s %6s %16s  %s\n", "point", "operations", "faults", "sent", "run once", \
           "run twice", "lost", "not-run that ran", "verdict"
    for (i = 1; i <= 9; ++i) {
        point = points[i]
        for (c = 1; c <= 7; ++c) {
            cell[c] = has[point, columns[c]] ? sum[point, columns[c]] : "-"
        }
        printf "%-9s %11s %7s %9s %9s %9s %6s %16s  %s\n", point, cell[1], cell[2], cell[3], cell[4], cell[5], \
               cell[6], cell[7], verdict(point)
    }
    for (name in failed) {
        print "failed: " name
        status = 1
    }
    printf "%d tests were run\n", tests
    exit status || rc != 0 || tests == 0
}
