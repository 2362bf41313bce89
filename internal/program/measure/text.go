package measure

import (
	"fmt"
	"math"
	"strings"
)

// scaled writes a value with three digits and the fitting prefix.
func scaled(value float64, steps []float64, units []string) string {
	for n, step := range steps {
		if math.Abs(value) >= step || n == len(steps)-1 {
			return trimmed(value/step) + " " + units[n]
		}
	}
	return ""
}

func trimmed(value float64) string {
	switch a := math.Abs(value); {
	case a == 0:
		return "0"
	case a < 0.01:
		return fmt.Sprintf("%.2g", value)
	case a >= 100:
		return fmt.Sprintf("%.0f", value)
	case a >= 10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.2f", value)
	}
}

func bytesText(value float64) string {
	return scaled(value, []float64{1e9, 1e6, 1e3, 1}, []string{"GB", "MB", "KB", "B"})
}

func secondsText(value float64) string {
	return scaled(value, []float64{1, 1e-3, 1e-6, 1e-9, 1e-12}, []string{"s", "ms", "us", "ns", "ps"})
}

func coresText(value float64) string { return trimmed(100*value) + "%" }

// valueText writes a value in the unit of a series.
func valueText(value float64, unit string) string {
	switch unit {
	case "bytes":
		return bytesText(value)
	case "s":
		return secondsText(value)
	default:
		return trimmed(value) + " " + unit
	}
}

// inputText writes a value as the table of inputs shows it.
func inputText(i Input) string {
	return strings.TrimSpace(fmt.Sprintf("%v %s", trimZeros(i.Value), i.Unit))
}

func trimZeros(value float64) string {
	text := fmt.Sprintf("%.4f", value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}
